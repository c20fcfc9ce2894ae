#include "continuation/runs_query.h"

#include "shuntjunction/transport/connect.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::RunsReply;
using state::RunsReplyKind;
using transport::ParseStatus;
using transport::Task;
namespace asio = transport::asio;

namespace {

/// Interval between two queries of one endpoint: each costs a connection, and a
/// reply may lag some hundred milliseconds behind.
constexpr Millis kQueryInterval{ 400 };

/// A machine that runs accepts a connection within this time, in any region.
constexpr Millis kConnectTimeout{ 200 };

/// An engine replies without waiting for a slot.
constexpr Millis kReplyTimeout{ 300 };

/// Longest reply that is read: some thousand runs.
constexpr std::size_t kMaxReplyBytes = 256UL * 1024;

/// Sends the query on an open connection and reads the reply.
Task<RunsReply>
ExchangeQuery(std::shared_ptr<Relay::Core> aCore,
              RelayEndpointPtr aEndpoint,
              std::shared_ptr<transport::SocketReader> aConnection)
{
  const auto& codec = aCore->mDependencies.mCodec;
  const auto& clock = aCore->mDependencies.mClock;
  const auto until = clock.Now() + kReplyTimeout;
  const std::string text = codec.RunsQuery(aEndpoint->mInfo);
  const transport::SocketReader::WriteBuffers buffers{ asio::buffer(text) };
  const bool isSent = co_await aConnection->Write(buffers);
  if (!isSent) {
    co_return RunsReply{};
  }
  transport::RelayResponseReader reader(false);
  std::string body;
  while (clock.Now() < until && body.size() <= kMaxReplyBytes) {
    std::size_t consumed = 0;
    auto status = ParseStatus::kNeedMore;
    if (!aConnection->Buffered().empty()) {
      status = reader.Put(aConnection->Buffered(), consumed);
      aConnection->Consume(consumed);
    }
    if (status == ParseStatus::kHead || status == ParseStatus::kDone ||
        consumed > 0) {
      body += reader.TakeBody();
    }
    if (status == ParseStatus::kDone) {
      co_return codec.ReadRunsReply(reader.Head(), body);
    }
    const bool isStuck = consumed == 0 && aConnection->IsClosed();
    if (status == ParseStatus::kMalformed || isStuck) {
      break;
    }
    if (consumed == 0) {
      co_await aConnection->Wait(until);
    }
  }
  co_return RunsReply{};
}

Task<RunsReply>
QueryRuns(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  RunsReply reply;
  const auto address = state::ParseAddress(aEndpoint->mInfo.mAddress);
  const auto target =
    transport::ToTcpEndpoint(address.value_or(state::Address{}), "relay.runs");
  if (!target || !aCore->MakeRoomForEndpoint()) {
    co_return reply;
  }
  auto count = aCore->mEndpoints.CountConnection();
  auto socket = co_await transport::ConnectSocket(*target, kConnectTimeout);
  if (!socket) {
    // One that drains may stop listening while it goes on with its runs.
    const bool isRefused = socket.error() == asio::error::connection_refused &&
                           aEndpoint->AcceptsWork();
    reply.mKind = isRefused ? RunsReplyKind::kRefused : RunsReplyKind::kNone;
    co_return reply;
  }
  const auto connection = std::make_shared<transport::SocketReader>(
    std::move(*socket), aCore->mLimits.mReadAhead);
  connection->KeepWhileOpen(std::move(count));
  connection->Start();
  reply = co_await ExchangeQuery(aCore, aEndpoint, connection);
  connection->Close(true);
  co_return reply;
}

void
LogReply(const Relay::Core& aCore,
         const RelayEndpoint& aEndpoint,
         Millis aDuration)
{
  const auto& reply = aEndpoint.mRunsQueries.mReply;
  const auto& dependencies = aCore.mDependencies;
  const auto signals =
    RelayEndpoints::SignalsOf(aEndpoint, dependencies.mClock.Now());
  const auto kind = state::kRunsReplyKindNames.Name(reply.mKind);
  dependencies.mLog.Write(
    EventLine(kRelayComponent, "runs-queried")
      .Add("endpoint", aEndpoint.mInfo.mId)
      .Add("reply", kind)
      .Add("runs", reply.mRequestIds.size())
      .Add("queued", reply.mQueued)
      .Add("started_at", reply.mIncarnation.StartedAt())
      .Add("ms", aDuration.count())
      .Add("bytes_age_ms", signals.mSinceEndpointBytes.count())
      .Add("companion_known", signals.mHasCompanionMessage)
      .Add("companion_closed", signals.mIsCompanionClosed)
      .Add("companion_age_ms", signals.mSinceCompanionMessage.count()));
  dependencies.mMetrics.Count("shuntjunction_relay_runs_queries_total",
                              { { "service", aEndpoint.mInfo.mService },
                                { "reply", std::string(kind) } });
}

Task<void>
QueryAndKeep(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  const auto& clock = aCore->mDependencies.mClock;
  const auto askedAt = clock.Now();
  auto reply = co_await QueryRuns(aCore, aEndpoint);
  auto& queries = aEndpoint->mRunsQueries;
  queries.mIsPending = false;
  // A check for a crash may have seen a refusal meanwhile.
  if (askedAt >= queries.mAskedAt) {
    queries.mReply = std::move(reply);
    queries.mAskedAt = askedAt;
  }
  LogReply(*aCore,
           *aEndpoint,
           std::chrono::duration_cast<Millis>(clock.Now() - askedAt));
  for (const auto& connection : aEndpoint->mBusy) {
    connection->Wake();
  }
}

} // namespace

void
StartRunsQuery(const std::shared_ptr<Relay::Core>& aCore,
               const RelayEndpointPtr& aEndpoint)
{
  auto& queries = aEndpoint->mRunsQueries;
  const auto now = aCore->mDependencies.mClock.Now();
  if (queries.mIsPending || now - queries.mSentAt < kQueryInterval) {
    return;
  }
  queries.mIsPending = true;
  queries.mSentAt = now;
  transport::Spawn(aCore->mDependencies.mContext,
                   QueryAndKeep(aCore, aEndpoint));
}

} // namespace shuntjunction::coordination
