#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/endpoint_notice.h"

/// Decides whether a relay may send requests to an endpoint.
///
/// Combines three sources: the platform's list, the endpoint's responses and
/// failed attempts. It is consulted when an endpoint is chosen and again before
/// each send.
namespace shuntjunction::state {

/// Why an endpoint currently gets no requests.
enum class Obstacle : std::uint8_t
{
  kNone,
  kRemoved,    ///< not listed, or replaced by another incarnation
  kDraining,   ///< reported by the list or by one of its responses
  kCooldown,   ///< it asked for a pause, or an attempt failed
  kRecovering, ///< limited to a few requests after a cooldown
  kNoPermit,   ///< it advertises a rate limit, and no permit is held
};

/// Names of Obstacle.
inline constexpr EnumNames<Obstacle, 6> kObstacleNames{
  { "none", "removed", "draining", "cooldown", "recovering", "no-permit" }
};

/// What an endpoint's advertised rate limit requires of one request.
struct PermitNeed
{
  bool mIsNeeded = false;
  bool mIsHeld = false;
  TimePoint mEarliestAt; ///< no permit is available before this time
};

/// Proof that availability was checked immediately before a send.
class SendClearance
{
public:
  SendClearance(SendClearance&&) = default;
  SendClearance& operator=(SendClearance&&) = default;
  ~SendClearance() = default;
  SendClearance(const SendClearance&) = delete;
  SendClearance& operator=(const SendClearance&) = delete;

private:
  friend class EndpointAvailability;
  explicit SendClearance(std::uint32_t aRecovery)
    : mRecovery(aRecovery)
  {
  }

  std::uint32_t mRecovery; ///< recovery it counts towards; 0: none
};

/// What changed because of a response.
struct NoticeChange
{
  bool mIsDraining = false; ///< this response was the first to report draining
  Millis mCooldown{ 0 };    ///< requested by the response; zero: none
};

/// Settings of EndpointAvailability.
struct AvailabilitySettings
{
  /// Number of concurrent requests that are allowed right after a cooldown that
  /// the endpoint asked for; each accepted request doubles it.
  int mFirstTrials = 1;
  /// The endpoint has recovered once this many requests are allowed.
  int mRecoveredTrials = 16;
};

/// Availability of one incarnation of an endpoint, as seen by one relay.
///
/// Thread safety: none; owned by one thread.
class EndpointAvailability
{
public:
  explicit EndpointAvailability(const AvailabilitySettings& aSettings = {});

  /// Sets the listed state, or that the endpoint is no longer listed.
  void SetListing(bool aIsListed, bool aIsDraining);

  /// Applies what a response of this incarnation advertises.
  ///
  /// Draining is final, whatever a list says. If several cooldowns overlap, the
  /// one that ends last applies, regardless of the order of the responses.
  /// @param aWallMillis  current time since the Unix epoch
  NoticeChange Take(const EndpointNotice& aNotice,
                    TimePoint aNow,
                    std::int64_t aWallMillis);

  /// Pauses the endpoint after an attempt failed in a way that would make the
  /// next one fail too.
  void Pause(Millis aPause, TimePoint aNow);

  /// First obstacle to a request that may be sent soon; a permit can still be
  /// acquired until then.
  Obstacle ObstacleAt(TimePoint aNow, const PermitNeed& aPermit = {}) const;

  /// First obstacle to a request that is to be sent now.
  Obstacle ObstacleAtSend(TimePoint aNow, const PermitNeed& aPermit) const;

  /// Grants clearance to send a request.
  ///
  /// @pre  ObstacleAtSend returned kNone for aNow
  SendClearance GrantClearance(TimePoint aNow);

  /// Records the outcome of a cleared request. Called once per clearance,
  /// whether or not a response head arrived.
  void Settle(SendClearance aClearance, bool aIsAccepted);

  bool IsListed() const { return mIsListed; }
  bool IsDraining() const { return mIsListedDraining || mIsReportedDraining; }
  /// End of the cooldown; in the past if there is none.
  TimePoint CooldownEnd() const;
  /// End of the cooldown that the endpoint asked for; in the past if there is
  /// none.
  TimePoint RequestedCooldownEnd() const { return mCooldownUntil; }

private:
  bool IsRecovering(TimePoint aNow) const;

  AvailabilitySettings mSettings;
  bool mIsListed = true;
  bool mIsListedDraining = false;
  bool mIsReportedDraining = false;
  TimePoint mPausedUntil;      ///< after a failed attempt
  TimePoint mCooldownUntil;    ///< requested by the endpoint
  std::uint32_t mRecovery = 0; ///< number of the latest cooldown
  int mTrialsAllowed = 0;      ///< concurrent requests; 0: recovered
  int mTrialsInFlight = 0;     ///< in the latest recovery
};

/// Availability of all endpoints, including some that are not listed at
/// present: an entry that expires and reappears belongs to the same
/// incarnation.
///
/// Thread safety: none; owned by one thread.
class AvailabilityRegistry
{
public:
  using Ptr = std::shared_ptr<EndpointAvailability>;

  explicit AvailabilityRegistry(const AvailabilitySettings& aSettings = {});

  /// Returns the state of an endpoint's incarnation, including what was known
  /// of it before it was removed.
  Ptr Find(const std::string& aId, EndpointIncarnation aIncarnation);

  /// Returns the state of an incarnation that replaced another one.
  Ptr Begin(const std::string& aId, EndpointIncarnation aIncarnation);

  /// Records that an endpoint is no longer listed.
  void NoteRemoved(std::string_view aId);

  /// Number of endpoints that are kept although they are not listed.
  std::size_t Removed() const { return mRemoved; }

private:
  /// Drops the endpoint that was removed first.
  void EvictOldest();

  struct Entry
  {
    Ptr mAvailability;
    EndpointIncarnation mEndpointIncarnation;
    std::uint64_t mRemovalOrder = 0; ///< order of removal; 0: listed
  };

  AvailabilitySettings mSettings;
  std::map<std::string, Entry, std::less<>> mById;
  std::uint64_t mRemovals = 0;
  std::size_t mRemoved = 0;
};

} // namespace shuntjunction::state
