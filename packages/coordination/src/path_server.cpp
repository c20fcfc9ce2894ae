#include "path_server.h"

namespace shuntjunction::coordination {

using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

HttpResponse
PlainAnswer(unsigned aStatus, std::string aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain";
  response.mBody = std::move(aText);
  return response;
}

PathHandler::PathHandler(std::string aPath,
                         std::function<HttpResponse()> aAnswer)
  : mPath(std::move(aPath))
  , mAnswer(std::move(aAnswer))
{
}

Task<void>
PathHandler::Handle(HttpExchange& aExchange)
{
  const bool isKnown = aExchange.Request().Path() == mPath;
  HttpResponse answer = isKnown ? mAnswer() : Refusal(404, "no such");
  co_await aExchange.Respond(std::move(answer));
}

HttpResponse
PathHandler::Refusal(unsigned aStatus, std::string_view aText)
{
  return PlainAnswer(aStatus, std::string(aText) + "\n");
}

PathServer::PathServer(transport::asio::io_context& aContext,
                       std::string aPath,
                       std::function<HttpResponse()> aAnswer)
  : mHandler(std::move(aPath), std::move(aAnswer))
  , mServer(aContext, mLimits, mHandler)
{
}

} // namespace shuntjunction::coordination
