#include "json_reply.h"

#include <boost/json/serialize.hpp>

namespace shuntjunction::standins {

transport::HttpResponse
Reply(unsigned aStatus, const boost::json::value& aBody)
{
  transport::HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = boost::json::serialize(aBody);
  return response;
}

} // namespace shuntjunction::standins
