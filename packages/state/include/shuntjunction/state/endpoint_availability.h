#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/endpoint_notice.h"

/// Whether one relay may send to an endpoint, from all that it knows of it.
///
/// Three sources report on an endpoint: the platform's list, its own answers,
/// and attempts that failed. They meet here, and both the choice of an endpoint
/// and each send ask here.
namespace shuntjunction::state {

/// Why an endpoint gets no request at a moment.
enum class Obstacle : std::uint8_t
{
  kNone,
  kRemoved,    ///< it is not listed, or another incarnation took its place
  kDraining,   ///< by the list, or by an answer of its own
  kCooldown,   ///< it asked for a pause, or an attempt there failed
  kRecovering, ///< after a cooldown it gets few requests at first
  kNoPermit,   ///< it advertises a rate limit, and no permit is held
};

/// Names of Obstacle.
inline constexpr EnumNames<Obstacle, 6> kObstacleNames{
  { "none", "removed", "draining", "cooldown", "recovering", "no-permit" }
};

/// What the limit that an endpoint advertises asks of one request.
struct PermitNeed
{
  bool mIsNeeded = false;
  bool mIsHeld = false;
  TimePoint mEarliestAt; ///< before this none is to be had
};

/// Proof that an endpoint was asked for right before a request is sent there.
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

  std::uint32_t mRecovery; ///< that it is part of; 0: of none
};

/// What an answer changed.
struct NoticeChange
{
  bool mIsDraining = false; ///< it is known to drain since this answer
  Millis mCooldown{ 0 };    ///< that it asked for; zero: none
};

/// Settings of EndpointAvailability.
struct AvailabilitySettings
{
  /// Requests that may be under way at first after a cooldown that the endpoint
  /// asked for; each that it accepts doubles them.
  int mFirstTrials = 1;
  /// With so many the endpoint has recovered.
  int mRecoveredTrials = 16;
};

/// One incarnation of an endpoint, as one relay may use it.
///
/// Thread safety: none; owned by one thread.
class EndpointAvailability
{
public:
  explicit EndpointAvailability(const AvailabilitySettings& aSettings = {});

  /// Takes the state in the list, or that the endpoint is not listed any more.
  void SetListing(bool aIsListed, bool aIsDraining);

  /// Takes what an answer of this incarnation advertises.
  ///
  /// A drain holds for good, whatever a list shows. Of cooldowns the one that
  /// ends last holds, whichever answer came last.
  /// @param aWallMillis  now, since the Unix epoch
  NoticeChange Take(const EndpointNotice& aNotice,
                    TimePoint aNow,
                    std::int64_t aWallMillis);

  /// Takes that an attempt failed in a way after which the next would, too.
  void Pause(Millis aPause, TimePoint aNow);

  /// The first obstacle to a request that might be sent there soon: a permit
  /// may still be acquired.
  Obstacle ObstacleAt(TimePoint aNow, const PermitNeed& aPermit = {}) const;

  /// The first obstacle to a request that would be sent now.
  Obstacle ObstacleAtSend(TimePoint aNow, const PermitNeed& aPermit) const;

  /// Leave to send a request.
  ///
  /// @pre  ObstacleAtSend gave kNone at aNow
  SendClearance GrantClearance(TimePoint aNow);

  /// Takes how a cleared request went: once, with the head of its answer or
  /// without one.
  void Settle(SendClearance aClearance, bool aIsAccepted);

  bool IsListed() const { return mIsListed; }
  bool IsDraining() const { return mIsListedDraining || mIsReportedDraining; }
  /// Whether an answer reported it, rather than the list.
  bool IsReportedDraining() const { return mIsReportedDraining; }
  /// End of the cooldown; in the past when there is none.
  TimePoint CooldownEnd() const;
  /// End of the cooldown that the endpoint asked for; in the past as above.
  TimePoint RequestedCooldownEnd() const { return mCooldownUntil; }

private:
  bool IsRecovering(TimePoint aNow) const;

  AvailabilitySettings mSettings;
  bool mIsListed = true;
  bool mIsListedDraining = false;
  bool mIsReportedDraining = false;
  TimePoint mPausedUntil;      ///< after a failed attempt
  TimePoint mCooldownUntil;    ///< that the endpoint asked for
  std::uint32_t mRecovery = 0; ///< number of the latest cooldown
  int mTrialsAllowed = 0;      ///< at once; 0: recovered
  int mTrialsUnderWay = 0;     ///< of the latest recovery
};

/// The availability of all endpoints, also of those that are not listed for a
/// while: an entry that lapses and comes back is the same incarnation.
///
/// Thread safety: none; owned by one thread.
class AvailabilityRegistry
{
public:
  using Ptr = std::shared_ptr<EndpointAvailability>;

  explicit AvailabilityRegistry(const AvailabilitySettings& aSettings = {});

  /// That of an endpoint's incarnation, as it was when it was known before.
  Ptr Find(const std::string& aId, EndpointIncarnation aLife);

  /// That of an incarnation that took the place of another.
  Ptr Begin(const std::string& aId, EndpointIncarnation aLife);

  /// Takes that an endpoint is not listed any more.
  void NoteRemoved(std::string_view aId);

  /// Endpoints that are remembered though they are not listed.
  std::size_t Removed() const { return mRemoved; }

private:
  /// Drops one of those that were removed, the one removed first.
  void DropOldest();

  struct Entry
  {
    Ptr mAvailability;
    EndpointIncarnation mEndpointIncarnation;
    std::uint64_t mRemovedAs = 0; ///< order of removal; 0: it is listed
  };

  AvailabilitySettings mSettings;
  std::map<std::string, Entry, std::less<>> mById;
  std::uint64_t mRemovals = 0;
  std::size_t mRemoved = 0;
};

} // namespace shuntjunction::state
