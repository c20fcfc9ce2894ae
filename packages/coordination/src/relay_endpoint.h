#pragma once

// Private to coordination: endpoints as a relay knows and reaches them.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "request_parts.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/endpoint_availability.h"
#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/endpoint_silence.h"
#include "shuntjunction/state/late_requests.h"
#include "shuntjunction/state/part_index.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/request_digest.h"
#include "shuntjunction/state/retry_charge.h"
#include "shuntjunction/state/streams/run_end.h"
#include "shuntjunction/transport/relay_message.h"
#include "shuntjunction/transport/socket_reader.h"

namespace shuntjunction::coordination {

/// Counts a connection to an endpoint for as long as it is open.
class ConnectionCount
{
public:
  explicit ConnectionCount(std::shared_ptr<std::int64_t> aOpen)
    : mOpen(std::move(aOpen))
  {
    ++*mOpen;
  }
  ~ConnectionCount() { --*mOpen; }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

private:
  std::shared_ptr<std::int64_t> mOpen;
};

/// A connection to an endpoint, used by one request at a time.
struct EndpointConnection
{
  std::shared_ptr<transport::SocketReader> mReader;
  state::TimePoint mIdleSince;
  state::Millis mIdleLimit{ 0 }; ///< reused only while idle for less
};

/// Settings of RelayEndpoints.
struct RelayEndpointSettings
{
  /// Timeout of a new connection; the endpoints' zones are milliseconds apart.
  state::Millis mConnectTimeout{ 400 };
  /// Idle time after which a connection is closed if its endpoint states no
  /// limit.
  state::Millis mIdleLimit{ 4000 };
  /// Share of an endpoint's own limit that is used; the rest covers the transit
  /// time.
  double mIdleShare = 0.5;
  /// Consecutive failures that make an endpoint suspect.
  int mFailuresToSuspect = 2;
  state::Millis mFirstSuspectPause{ 500 };
  state::Millis mMaxSuspectPause{ 4000 };
  /// Pause of an endpoint that refused for lack of capacity.
  state::Millis mFullPause{ 50 };
  /// Pause of an endpoint that answered that another was addressed: its address
  /// now belongs to another endpoint, or its weights changed unannounced. The
  /// list or its companion reports this in time.
  state::Millis mMisdirectedPause{ 250 };
  /// Pause of an endpoint whose machine refused the connection: nothing runs
  /// there.
  state::Millis mRefusedPause{ 300 };
  /// Companions send a status at least once a second; an older one is not used.
  state::Millis mNewsLimit{ 2500 };
  state::SilenceSettings mSilence;
};

/// A request whose connection to an endpoint broke.
struct BrokenRequest
{
  state::RequestDigest mRequest;
  state::TimePoint mAt;
  RequestParts mParts; ///< empty: its answer was past its beginning
  bool mIsTrial = false;
};

/// The rate to which an endpoint short of capacity limits all relays together,
/// as far as this relay knows.
struct AdvertisedRate
{
  double mPerSecond = 0;
  /// Earliest time at which its owner may have a permit, for urgent requests
  /// and for others.
  state::TimePoint mUrgentPermitAt;
  state::TimePoint mPermitAt;
  /// When it was last reported, or a permit last requested.
  state::TimePoint mHeardAt;
  // Requests since the last log line.
  std::int64_t mSent = 0;
  std::int64_t mWithoutPermit = 0; ///< sent elsewhere, or refused

  state::TimePoint PermitAt(bool aIsUrgent) const
  {
    return aIsUrgent ? mUrgentPermitAt : mPermitAt;
  }
};

/// What keeps requests from an endpoint, and until when.
struct Unavailability
{
  state::Obstacle mObstacle = state::Obstacle::kNone;
  state::TimePoint mAt;
};

/// The queries for an endpoint's runs.
struct RunsQueries
{
  bool mIsPending = false;
  state::TimePoint mSentAt; ///< of the latest
  /// The latest reply, and when its query was sent.
  state::RunsReply mReply;
  state::TimePoint mAskedAt;

  /// Records that the endpoint refused a connection that was opened at aAt.
  void NoteRefusal(state::TimePoint aAt)
  {
    mReply = {};
    mReply.mKind = state::RunsReplyKind::kRefused;
    mAskedAt = aAt;
  }
};

/// One endpoint as a relay knows it.
struct RelayEndpoint
{
  state::EndpointInfo mInfo;
  /// The incarnation that this record describes.
  state::IncarnationTracker mEndpointIncarnation;
  std::uint64_t mNameHash = 0;
  /// Of this incarnation; it outlasts a lapse of the list's entry.
  state::AvailabilityRegistry::Ptr mAvailability;
  std::vector<EndpointConnection> mIdle; ///< the most recently used last
  /// Connections on which a request waits for its answer.
  std::set<std::shared_ptr<transport::SocketReader>> mBusy;
  std::int64_t mRunning = 0;         ///< requests of this relay there
  std::int64_t mSuspectRequests = 0; ///< of these, see state::ChooseForSuspect
  /// Tokens of copies of runs that this relay had placed there.
  std::int64_t mBackupTokens = 0;
  state::WaitingTokens mWaiting; ///< of this relay's, by urgency there
  /// Requests of this relay that are queued behind all others there.
  state::LateRequests mLate;
  int mFailures = 0; ///< consecutive
  state::Millis mSuspectPause{ 0 };
  state::TimePoint mSuspectUntil;
  /// Nothing listens at its address, or another incarnation of it does.
  bool mHasCrashed = false;
  bool mIsRefusing = false;    ///< it refused the latest probe's connection
  bool mIsBeingProbed = false; ///< for a crash; see HasCrashed
  state::TimePoint mProbeStartedAt;
  state::TimePoint mProbedAt;
  RunsQueries mRunsQueries;
  /// Requests whose connections broke though it listens: it may have crashed
  /// and be back already.
  std::vector<BrokenRequest> mBrokenRequests;
  /// Last status of its companion; empty before the first.
  std::optional<protocol::EngineNews> mNews;
  state::TimePoint mNewsAt;
  /// Its companion's connection was ended by the companion's machine.
  bool mIsNewsConnectionEnded = false;
  std::optional<AdvertisedRate> mRate; ///< while it advertises one
  state::UnsettledCharges mUnsettledCharges;
  /// When its last bytes came, or when a request was sent while none waited
  /// there.
  state::TimePoint mLastBytesAt;

  /// Whether it is neither removed nor draining.
  bool AcceptsWork() const
  {
    return mAvailability->IsListed() && !mAvailability->IsDraining();
  }

  /// Whether its companion gets no reply from it, as far as is known.
  bool IsReportedDown() const
  {
    return mNews && mNews->mPhase == protocol::EnginePhase::kDown;
  }

  /// The permit that a request needs at the rate that it advertises.
  state::PermitNeed PermitNeedOf(bool aIsUrgent, bool aIsHeld) const
  {
    return mRate
             ? state::PermitNeed{ true, aIsHeld, mRate->PermitAt(aIsUrgent) }
             : state::PermitNeed{};
  }

  /// The obstacle that its own answers advertised, and when it ends.
  ///
  /// Pauses after failed attempts are left out: the endpoint may be back at any
  /// moment.
  Unavailability UnavailabilityAt(state::TimePoint aNow, bool aIsUrgent) const;

  /// Closes connections on which no request waits.
  void CloseIdle();
};

using RelayEndpointPtr = std::shared_ptr<RelayEndpoint>;

/// Changes that a list brought.
struct EndpointChanges
{
  std::vector<RelayEndpointPtr> mLeaving;   ///< accept no more new work
  std::vector<RelayEndpointPtr> mRestarted; ///< now in another incarnation
};

/// All endpoints of a relay.
///
/// Thread safety: none; owned by the traffic thread.
class RelayEndpoints
{
public:
  explicit RelayEndpoints(const RelayEndpointSettings& aSettings);

  /// Applies the list; closes idle connections of endpoints that leave or are
  /// gone, and all connections of those that restarted.
  EndpointChanges Update(const std::vector<state::EndpointInfo>& aListed,
                         state::TimePoint aNow);

  /// Endpoints of a service that may get new work.
  std::vector<RelayEndpointPtr> Serving(std::string_view aService) const;

  /// Endpoints of a service that are listed, including draining ones.
  std::vector<RelayEndpointPtr> Listed(std::string_view aService) const;

  /// Number of listed endpoints with an obstacle of their own.
  std::size_t CountObstacles(state::Obstacle aObstacle,
                             state::TimePoint aNow) const;

  /// The endpoint with an id; null when it is not listed.
  RelayEndpointPtr Find(std::string_view aId) const;

  /// The endpoint whose incarnation has a hash; null when it is not listed.
  RelayEndpointPtr FindIncarnation(state::LimitHash aHash) const;

  /// Endpoints that advertise a rate.
  std::vector<RelayEndpointPtr> Limited() const;

  /// Takes an idle connection out of the pool; its reader is null when there is
  /// none.
  ///
  /// @param aMaxIdle  longest idle time that is accepted
  EndpointConnection TakeIdle(RelayEndpoint& aEndpoint,
                              state::Millis aMaxIdle,
                              state::TimePoint aNow);

  /// Returns a connection to the pool after a complete answer.
  ///
  /// @param aKeepAlive  value of the answer's Keep-Alive field
  void PutIdle(RelayEndpoint& aEndpoint,
               EndpointConnection aConnection,
               std::string_view aKeepAlive,
               state::TimePoint aNow);

  /// Counts a connection that is about to be opened.
  std::shared_ptr<ConnectionCount> CountConnection() const
  {
    return std::make_shared<ConnectionCount>(mOpen);
  }

  /// Number of connections to endpoints that are open or being opened.
  std::int64_t OpenConnections() const { return *mOpen; }

  /// Closes the connection that was idle the longest; false: none is idle.
  bool CloseLongestIdle();

  /// Closes connections that were idle for too long.
  void CloseStale(state::TimePoint aNow);

  /// Applies a companion's status of its endpoint or of the part store.
  ///
  /// @return the endpoint, if it restarted; otherwise null
  RelayEndpointPtr ApplyNews(const protocol::EngineNews& aNews,
                             state::TimePoint aNow);

  /// The companion's last status, unless it is too old.
  const protocol::EngineNews* FreshNews(const RelayEndpoint& aEndpoint,
                                        state::TimePoint aNow) const;

  /// Records that the machine of a host ended its companion's connection.
  void NoteNewsConnectionEnded(std::string_view aHost);

  /// Forgets what the companion of a host reported.
  void ForgetNews(std::string_view aHost);

  /// Whether nothing shows that an endpoint's machine still runs.
  bool IsSilent(const RelayEndpoint& aEndpoint, state::TimePoint aNow) const;

  /// Whether the machine stopped while requests wait there.
  bool HasStopped(const RelayEndpoint& aEndpoint, state::TimePoint aNow) const;

  /// When an endpoint and its companion were last heard from.
  static state::LivenessSignals SignalsOf(const RelayEndpoint& aEndpoint,
                                          state::TimePoint aNow);

  /// Wakes the requests that wait at endpoints whose machines have stopped, so
  /// that they can go on elsewhere.
  void WakeRequestsAtStopped(state::TimePoint aNow);

  /// Record that a request failed there, or that it went well.
  void NoteFailure(RelayEndpoint& aEndpoint, state::TimePoint aNow);
  void NoteSuccess(RelayEndpoint& aEndpoint);

  /// Which endpoints and stores cache which parts; stores by their address.
  const state::PartIndex& Parts() const { return mParts; }

  const RelayEndpointSettings& Settings() const { return mSettings; }

  /// Number of ignored reports of former incarnations.
  std::uint64_t StaleReports() const { return mStaleReports; }

private:
  /// Replaces an endpoint by its new incarnation: it is as if just listed, and
  /// what waits for its former incarnation is cut off.
  RelayEndpointPtr BeginIncarnation(RelayEndpointPtr& aEntry);

  /// The endpoints on a host.
  std::vector<RelayEndpointPtr> OnHost(std::string_view aHost) const;
  static void ApplyState(RelayEndpoint& aEndpoint,
                         const protocol::EngineNews& aNews,
                         state::TimePoint aNow);
  /// Closes all connections of an endpoint whose incarnation has ended.
  static void CloseConnections(RelayEndpoint& aEndpoint);

  RelayEndpointSettings mSettings;
  state::AvailabilityRegistry mAvailabilities;
  state::PartIndex mParts;
  std::map<std::string, RelayEndpointPtr, std::less<>> mById;
  std::uint64_t mStaleReports = 0;
  std::shared_ptr<std::int64_t> mOpen = std::make_shared<std::int64_t>(0);
};

} // namespace shuntjunction::coordination
