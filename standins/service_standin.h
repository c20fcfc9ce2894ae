#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "shuntjunction/transport/http_server.h"

/// Simulated service with calls that must not run twice.
namespace shuntjunction::standins {

/// Answers each call with a description of it and counts runs by idempotency
/// key.
///
///     any /audit    number of runs by idempotency key
///     any /healthz  {"ok": true}
///     any other     {"done": "METHOD /path", "run": N}
class ServiceStandin final : public transport::HttpHandler
{
public:
  /// @param aDelay  duration of each call
  explicit ServiceStandin(state::Millis aDelay);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  state::Millis mDelay;
  std::map<std::string, std::uint64_t> mRuns;
};

} // namespace shuntjunction::standins
