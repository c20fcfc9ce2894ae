#pragma once

// Private to coordination: serves one path on a port of its own.

#include <functional>
#include <string>
#include <string_view>

#include "shuntjunction/transport/http_server.h"

namespace shuntjunction::coordination {

/// A plain-text response.
transport::HttpResponse
PlainAnswer(unsigned aStatus, std::string aText);

/// Answers one path with the result of a function, and any other with 404.
///
/// Thread safety: none; used on the thread of its server's context.
class PathHandler final : public transport::HttpHandler
{
public:
  PathHandler(std::string aPath,
              std::function<transport::HttpResponse()> aAnswer);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  std::string mPath;
  std::function<transport::HttpResponse()> mAnswer;
};

/// Serves one path on a port of its own.
///
/// Thread safety: none; used on the thread of its context.
struct PathServer
{
  PathServer(transport::asio::io_context& aContext,
             std::string aPath,
             std::function<transport::HttpResponse()> aAnswer);

  state::LimitSettings mLimits;
  PathHandler mHandler;
  transport::HttpServer mServer;
};

} // namespace shuntjunction::coordination
