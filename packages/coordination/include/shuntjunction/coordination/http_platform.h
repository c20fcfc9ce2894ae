#pragma once

#include <memory>
#include <string>

#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/transport/http_client.h"

/// The platform's object API over HTTP and JSON.
namespace shuntjunction::coordination {

/// Client of the platform's HTTP service.
///
/// Calls and watches use separate connections, which stay open between calls.
/// The segments of a key are any text but "", "." and "..", for which calls
/// fail with kInvalidArgument. Thread safety: none; used on one thread.
class HttpPlatform final : public Platform
{
public:
  HttpPlatform(const state::Address& aAddress, state::Millis aTimeout);

  transport::Task<state::Result<ObjectList>> List(std::string aPrefix) override;
  transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) override;
  transport::Task<state::Result<std::uint64_t>> Write(
    std::string aKey,
    std::string aValue,
    std::uint64_t aIfRevision) override;
  transport::Task<state::Result<void>> Delete(
    std::string aKey,
    std::uint64_t aIfRevision) override;
  transport::Task<state::Result<WatchResult>> Watch(
    std::string aPrefix,
    std::uint64_t aAfter,
    state::Millis aWait) override;
  transport::Task<state::Result<InstanceList>> Instances(
    std::uint64_t aAfter,
    state::Millis aWait) override;
  transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) override
  {
    return List(std::move(aPrefix));
  }
  void AbortPendingCalls() override { mClient.AbortPendingCalls(); }

private:
  transport::Task<state::Result<transport::HttpResponse>> Call(
    std::string_view aStep,
    transport::HttpRequest aRequest,
    state::Millis aTimeout);

  transport::HttpClient mClient;
  state::Millis mTimeout;
};

} // namespace shuntjunction::coordination
