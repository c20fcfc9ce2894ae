// Backend for a plain HTTP service: requests are forwarded unchanged.

#include "shuntjunction/coordination/backend.h"
#include "shuntjunction/state/json_text_checker.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_client.h"

namespace shuntjunction::coordination {

using state::ErrorCode;
using state::Fail;
using state::Millis;
using state::Result;
using transport::HttpRequest;
using transport::HttpStream;
using transport::Task;

namespace {

constexpr std::string_view kHealthTarget = "/healthz";

/// Whether a body that ended with its connection shows that it was truncated.
bool
IsTruncated(const BackendEnd& aEnd)
{
  if (!transport::IsJsonType(transport::MediaType(aEnd.mContentType))) {
    return false;
  }
  state::JsonTextChecker text;
  text.Put(aEnd.mBody);
  return text.IsTruncated();
}

/// Reads a service's complete response.
class ServiceResponse final : public BackendResponse
{
public:
  /// @param aClient  of the service, outlives the response
  ServiceResponse(std::unique_ptr<HttpStream> aStream,
                  transport::HttpClient& aClient,
                  std::size_t aMaxBytes)
    : mStream(std::move(aStream))
    , mClient(aClient)
    , mPeer(aClient.Peer().Text())
    , mMaxBytes(aMaxBytes)
  {
  }

  state::Incarnation CurrentIncarnation() const override { return 0; }
  std::uint32_t Weights() const override { return 0; }
  std::uint32_t CachedBlocks() const override { return 0; }

  Task<Result<BackendEvent>> Next(Millis aTimeout) override
  {
    BackendEnd end;
    end.mStatus = mStream->Status();
    end.mContentType = mStream->Field("content-type");
    while (true) {
      auto piece = co_await mStream->Read(aTimeout);
      if (!piece) {
        co_return tl::unexpected(piece.error());
      }
      if (piece->empty()) {
        const bool isWhole = co_await IsWhole(end, aTimeout);
        if (!isWhole) {
          co_return Fail(
            ErrorCode::kUnavailable, "service.answer", mPeer, "cut off");
        }
        co_return BackendEvent(std::move(end));
      }
      end.mBody += *piece;
      if (end.mBody.size() > mMaxBytes) {
        co_return Fail(
          ErrorCode::kTooLarge, "service.answer", mPeer, "answer too large");
      }
    }
  }

private:
  /// Whether nothing shows that a body which has ended was truncated. A service
  /// that crashes closes its connections in order too.
  Task<bool> IsWhole(const BackendEnd& aEnd, Millis aTimeout)
  {
    if (!mStream->EndsWithConnection()) {
      co_return true;
    }
    if (IsTruncated(aEnd)) {
      co_return false;
    }
    co_return co_await mClient.IsListening(aTimeout);
  }

  std::unique_ptr<HttpStream> mStream;
  transport::HttpClient& mClient;
  std::string mPeer;
  std::size_t mMaxBytes;
};

class ServiceBackend final : public Backend
{
public:
  ServiceBackend(const state::Address& aAddress,
                 const state::CompanionSettings& aSettings,
                 std::size_t aMaxResponseBytes)
    : mClient(aAddress, aMaxResponseBytes)
    , mMaxResponseBytes(aMaxResponseBytes)
    , mTimeout(aSettings.mBackendTimeout)
  {
  }

  bool IsEngine() const override { return false; }

  Task<Result<std::unique_ptr<BackendResponse>>> Open(
    BackendCall aCall) override
  {
    const auto& submit = aCall.mSubmit;
    HttpRequest request;
    request.mMethod = submit.mMethod;
    request.mTarget = submit.mTarget;
    request.mContentType = submit.mContentType;
    request.mBody = submit.mBody;
    request.mFields = { { "x-request-id", submit.mRequestId },
                        { "x-team", submit.mTeam } };
    if (!submit.mKey.empty()) {
      request.mFields.push_back({ "idempotency-key", submit.mKey });
    }
    const Millis deadline(submit.mDeadlineMs);
    auto stream = co_await mClient.Open(std::move(request),
                                        mTimeout,
                                        std::max(mTimeout, deadline),
                                        aCall.mCancel);
    if (!stream) {
      co_return tl::unexpected(stream.error());
    }
    std::unique_ptr<BackendResponse> response =
      std::make_unique<ServiceResponse>(
        std::move(*stream), mClient, mMaxResponseBytes);
    co_return response;
  }

  Task<Result<BackendState>> State() override
  {
    HttpRequest request;
    request.mTarget = kHealthTarget;
    const auto response = co_await mClient.Send(std::move(request), mTimeout);
    if (!response) {
      co_return tl::unexpected(response.error());
    }
    co_return BackendState{ .mIncarnation = 1 };
  }

  Task<Result<CacheEvents>> Events(std::uint64_t /*aAfter*/,
                                   Millis aWait) override
  {
    co_await transport::Sleep(aWait);
    co_return CacheEvents{};
  }

  Task<Result<void>> Order(BackendOrder /*aOrder*/) override
  {
    co_return Fail(ErrorCode::kInvalidArgument,
                   "service.order",
                   mClient.Peer().Text(),
                   "a plain service takes no orders");
  }

private:
  transport::HttpClient mClient;
  std::size_t mMaxResponseBytes;
  Millis mTimeout;
};

} // namespace

std::unique_ptr<Backend>
MakeServiceBackend(const state::Address& aAddress,
                   const state::CompanionSettings& aSettings,
                   std::size_t aMaxResponseBytes)
{
  return std::make_unique<ServiceBackend>(
    aAddress, aSettings, aMaxResponseBytes);
}

} // namespace shuntjunction::coordination
