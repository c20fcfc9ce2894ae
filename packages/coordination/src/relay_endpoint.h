#pragma once

// Private to coordination: endpoints as a relay knows and reaches them.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/endpoint_availability.h"
#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/endpoint_silence.h"
#include "shuntjunction/state/late_requests.h"
#include "shuntjunction/state/part_index.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/request_digest.h"
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
  state::Millis mIdleLimit{ 0 }; ///< reused only before it rested so long
};

/// Settings of RelayEndpoints.
struct RelayEndpointSettings
{
  /// Of a new connection; the endpoints' zones are milliseconds apart.
  state::Millis mConnectTimeout{ 400 };
  /// Rest after which a connection whose endpoint names no limit is dropped.
  state::Millis mIdleLimit{ 4000 };
  /// Share of an endpoint's own limit that is used: the rest covers the way.
  double mIdleShare = 0.5;
  /// Failures in a row that make an endpoint suspect.
  int mFailuresToSuspect = 2;
  state::Millis mFirstSuspectPause{ 500 };
  state::Millis mMaxSuspectPause{ 4000 };
  /// Rest of an endpoint that refused for want of room.
  state::Millis mFullPause{ 50 };
  /// Rest of an endpoint that answered that another was meant: its address has
  /// passed on, or its weights changed unannounced. The list, or its companion,
  /// tells in time.
  state::Millis mMisdirectedPause{ 250 };
  /// Rest of an endpoint whose machine refused the connection: nothing runs
  /// there.
  state::Millis mRefusedPause{ 300 };
  /// Companions speak at least once a second; older news is not believed.
  state::Millis mNewsLimit{ 2500 };
  state::SilenceSettings mSilence;
};

/// A request whose connection broke off at an endpoint.
struct BrokenRequest
{
  state::RequestDigest mRequest;
  state::TimePoint mAt;
};

/// The rate that an endpoint in need takes from all relays, as one knows it.
struct AdvertisedRate
{
  double mPerSecond = 0;
  /// When its keeper may have a place, for urgent requests and for others.
  state::TimePoint mUrgentPermitAt;
  state::TimePoint mPermitAt;
  /// Its last word, or the last question for a place.
  state::TimePoint mHeardAt;
  // Requests since the last line of the log.
  std::int64_t mSent = 0;
  std::int64_t mWithoutPermit = 0; ///< went elsewhere, or were refused

  state::TimePoint PermitAt(bool aIsUrgent) const
  {
    return aIsUrgent ? mUrgentPermitAt : mPermitAt;
  }
};

/// When an endpoint takes requests again.
struct Unavailability
{
  state::Obstacle mObstacle = state::Obstacle::kNone;
  state::TimePoint mAt;
};

/// One endpoint as a relay knows it.
struct RelayEndpoint
{
  state::EndpointInfo mInfo;
  state::IncarnationTracker mEndpointIncarnation; ///< that all of this is about
  std::uint64_t mNameHash = 0;
  /// Of this incarnation; it outlasts a lapse of the list's entry.
  state::AvailabilityRegistry::Ptr mAvailability;
  std::vector<EndpointConnection> mIdle; ///< the freshest last
  /// Connections on which a request waits for its answer.
  std::set<std::shared_ptr<transport::SocketReader>> mBusy;
  std::int64_t mRunning = 0; ///< requests of this relay there
  std::int64_t mSuspectRequests =
    0;                           ///< of these, that go apart; see ChooseApart
  state::WaitingTokens mWaiting; ///< of this relay's, by their urgency there
  state::LateRequests mLate;     ///< of this relay's, behind all others there
  int mFailures = 0;             ///< in a row
  state::Millis mSuspectPause{ 0 };
  state::TimePoint mSuspectUntil;
  /// Nothing listens at its address, or another life of it does.
  bool mHasCrashed = false;
  bool mIsBeingChecked = false; ///< whether it has; see HasCrashed
  state::TimePoint mProbedAt;
  /// Requests that broke off here though it listens: it may have crashed and
  /// be back already.
  std::vector<BrokenRequest> mBrokenRequests;
  /// What its companion said last; empty before it said anything.
  std::optional<protocol::EngineNews> mNews;
  state::TimePoint mNewsAt;
  /// Its companion's connection was ended by the companion's machine.
  bool mIsNewsConnectionEnded = false;
  std::optional<AdvertisedRate> mRate; ///< while it names one
  /// Its last bytes, or the sending of a request when none waited there.
  state::TimePoint mLastBytesAt;

  /// Whether it is neither removed nor draining.
  bool AcceptsWork() const
  {
    return mAvailability->IsListed() && !mAvailability->IsDraining();
  }

  /// What the rate that it names asks of a request.
  state::PermitNeed PermitNeedOf(bool aIsUrgent, bool aIsHeld) const
  {
    return mRate
             ? state::PermitNeed{ true, aIsHeld, mRate->PermitAt(aIsUrgent) }
             : state::PermitNeed{};
  }

  /// The obstacle that its own answers advertised, and its end.
  ///
  /// Pauses after failed attempts are left out: it may be back at any moment.
  Unavailability UnavailabilityAt(state::TimePoint aNow, bool aIsUrgent) const;

  /// Closes connections on which no request waits.
  void CloseIdle();
};

using RelayEndpointPtr = std::shared_ptr<RelayEndpoint>;

/// What a list changed.
struct EndpointChanges
{
  std::vector<RelayEndpointPtr> mLeaving;   ///< take no new work any more
  std::vector<RelayEndpointPtr> mRestarted; ///< in another life
};

/// All endpoints of a relay.
///
/// Thread safety: none; owned by the traffic thread.
class RelayEndpoints
{
public:
  explicit RelayEndpoints(const RelayEndpointSettings& aSettings);

  /// Takes the list; resting connections of endpoints that leave, or went, are
  /// closed, and all of those that started again.
  EndpointChanges Update(const std::vector<state::EndpointInfo>& aListed,
                         state::TimePoint aNow);

  /// Endpoints of a service that may get new work.
  std::vector<RelayEndpointPtr> Serving(std::string_view aService) const;

  /// Endpoints of a service that are listed, draining ones among them.
  std::vector<RelayEndpointPtr> Listed(std::string_view aService) const;

  /// How many listed endpoints meet an obstacle of their own.
  std::size_t CountObstacles(state::Obstacle aObstacle,
                             state::TimePoint aNow) const;

  /// The endpoint of an id; null when it is not listed.
  RelayEndpointPtr Find(std::string_view aId) const;

  /// The endpoint whose life has a hash; null when it is not listed.
  RelayEndpointPtr FindLife(state::LimitHash aHash) const;

  /// Endpoints that name a rate.
  std::vector<RelayEndpointPtr> Limited() const;

  /// Takes a connection that rested; empty reader when there is none.
  ///
  /// @param aMaxRest  longest rest that is accepted
  EndpointConnection TakeIdle(RelayEndpoint& aEndpoint,
                              state::Millis aMaxRest,
                              state::TimePoint aNow);

  /// Gives a connection back after a whole answer.
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

  /// Connections to endpoints that are open or being opened.
  std::int64_t OpenConnections() const { return *mOpen; }

  /// Closes the connection that has rested the longest; false: none rests.
  bool CloseLongestIdle();

  /// Closes connections that rested too long.
  void CloseStale(state::TimePoint aNow);

  /// Takes what an endpoint's companion said of it, or of the part store.
  ///
  /// @return the endpoint, if it started again; otherwise null
  RelayEndpointPtr ApplyNews(const protocol::EngineNews& aNews,
                             state::TimePoint aNow);

  /// What the companion said, unless it is too old.
  const protocol::EngineNews* FreshNews(const RelayEndpoint& aEndpoint,
                                        state::TimePoint aNow) const;

  /// Takes that the machine of a host ended its companion's connection.
  void NoteNewsConnectionEnded(std::string_view aHost);

  /// Whether nothing shows that an endpoint's machine still runs.
  bool IsSilent(const RelayEndpoint& aEndpoint, state::TimePoint aNow) const;

  /// Whether it has stopped under the requests that wait there.
  bool HasStopped(const RelayEndpoint& aEndpoint, state::TimePoint aNow) const;

  /// Wakes the requests that wait at endpoints whose machines have stopped:
  /// they may go on elsewhere.
  void WakeRequestsAtStopped(state::TimePoint aNow);

  /// Notes that a request failed there, or that it went well.
  void NoteFailure(RelayEndpoint& aEndpoint, state::TimePoint aNow);
  void NoteSuccess(RelayEndpoint& aEndpoint);

  /// Which endpoints and stores keep which parts; stores by their address.
  const state::PartIndex& Parts() const { return mParts; }

  const RelayEndpointSettings& Settings() const { return mSettings; }

  /// Words of former lives that were passed over.
  std::uint64_t StaleReports() const { return mStaleReports; }

private:
  /// Puts another life in an endpoint's place: it is as if just listed, and
  /// what waits for its former life is cut off.
  RelayEndpointPtr BeginLife(RelayEndpointPtr& aEntry);

  static state::LivenessSignals SignsOf(const RelayEndpoint& aEndpoint,
                                        state::TimePoint aNow);
  static void ApplyState(RelayEndpoint& aEndpoint,
                         const protocol::EngineNews& aNews,
                         state::TimePoint aNow);
  /// Ends all that waits for an endpoint that is down.
  static void CloseConnections(RelayEndpoint& aEndpoint);

  RelayEndpointSettings mSettings;
  state::AvailabilityRegistry mAvailabilities;
  state::PartIndex mParts;
  std::map<std::string, RelayEndpointPtr, std::less<>> mById;
  std::uint64_t mStaleReports = 0;
  std::shared_ptr<std::int64_t> mOpen = std::make_shared<std::int64_t>(0);
};

} // namespace shuntjunction::coordination
