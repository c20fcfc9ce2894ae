#pragma once

#include <thread>

#include <boost/json/object.hpp>

#include "given_a_fleet.h"
#include "shuntjunction/state/json_reader.h"

/// Fixture for requests that must run at most once.
namespace shuntjunction::standins {

/// A fleet whose service counts the runs of a booking by idempotency key.
class GivenABooking : public GivenAFleet
{
protected:
  using GivenAFleet::GivenAFleet;

  static transport::HttpRequest Booking(const std::string& aKey,
                                        const std::string& aBody = "{}")
  {
    transport::HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/services/booking/trips?crew=1";
    request.mContentType = "application/json";
    request.mBody = aBody;
    request.mFields = { { "idempotency-key", aKey },
                        { "x-not-repeatable", "true" } };
    return request;
  }

  std::int64_t CountRuns(const std::string& aKey)
  {
    transport::HttpRequest audit;
    audit.mTarget = "/audit";
    const auto answer = Fleet::Call(mFleet.Process("service").mTraffic, audit);
    const auto value = state::ParseJson(answer->mBody, "audit");
    const auto* runs = value->as_object().if_contains(aKey);
    return runs == nullptr ? 0 : runs->as_int64();
  }

  /// Repeats the request until router-2 returns the recorded outcome.
  transport::HttpResponse SendUntilReplayed(const std::string& aKey)
  {
    transport::HttpResponse answer;
    for (int i = 0; i < 200; ++i) {
      answer = Send("router-2", Booking(aKey));
      if (answer.mStatus == 200) {
        break;
      }
      std::this_thread::sleep_for(state::Millis(50));
    }
    return answer;
  }
};

} // namespace shuntjunction::standins
