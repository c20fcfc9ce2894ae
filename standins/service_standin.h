#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "shuntjunction/transport/http_server.h"

/// A plain service some of whose calls must not be repeated.
namespace shuntjunction::standins {

/// Answers any call with what it did, and counts runs by idempotency key.
///
///     any /audit    runs by idempotency key
///     any else      {"done": "METHOD /path", "run": N}
class ServiceStandin final : public transport::HttpHandler
{
public:
  /// @param aDelay  that every call takes
  explicit ServiceStandin(state::Millis aDelay);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  state::Millis mDelay;
  std::map<std::string, std::uint64_t> mRuns;
};

} // namespace shuntjunction::standins
