#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_table.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/task.h"

/// What the platform gives: objects, watches, the list of instances.
namespace shuntjunction::coordination {

/// What another process told with an answer that it gave for the platform.
struct MirrorFreshness
{
  /// All that the platform knew by then is in the answer.
  state::TimePoint mAsOf;
  std::optional<state::TimePoint> mTroubleAt; ///< when it failed that process
};

/// Objects as of a revision of the platform.
struct ObjectList
{
  std::uint64_t mRevision = 0;
  std::vector<state::RawObject> mObjects;
  std::optional<MirrorFreshness>
    mMirrorFreshness; ///< empty: the platform's own answer
};

/// What a watch brought.
struct WatchResult
{
  std::uint64_t mRevision = 0;
  std::vector<state::RawObject> mChanges; ///< deleted ones have no value
  bool mIsGap = false;                    ///< changes were lost: list again
  std::optional<MirrorFreshness>
    mMirrorFreshness; ///< empty: the platform's own answer
};

/// The list of live and leaving instances.
struct InstanceList
{
  std::uint64_t mRevision = 0;
  std::vector<state::InstanceInfo> mInstances;
};

/// An instance as JSON.
boost::json::object
WriteInstance(const state::InstanceInfo& aInstance);

/// The list of instances under the key "instances".
std::vector<state::InstanceInfo>
ReadInstances(state::JsonReader& aReader);

/// What a status that is no success says of a platform call.
///
/// Thread safety: pure.
/// @return kUnavailable when nothing was done, kConflict when a condition did
///         not hold, kTimeout when the effect is open
state::ErrorCode
PlatformErrorOf(unsigned aStatus);

/// The platform's service, behind which whatever is particular to it stays.
///
/// Every method is one call that the platform counts.
/// Thread safety: none; an instance is used on one thread.
/// Errors: kUnavailable when the call certainly had no effect, kTimeout when
/// its effect is unknown, kConflict when a condition did not hold.
class Platform
{
public:
  virtual ~Platform() = default;

  /// All objects whose keys begin with a prefix.
  virtual transport::Task<state::Result<ObjectList>> List(
    std::string aPrefix) = 0;

  /// The same from a copy that may be some seconds old, where the platform has
  /// one that costs less; otherwise as List.
  virtual transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) = 0;

  /// One object; empty when there is none.
  virtual transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) = 0;

  /// Writes an object if its revision is aIfRevision; 0 when it must not
  /// exist.
  ///
  /// @return the object's new revision
  virtual transport::Task<state::Result<std::uint64_t>>
  Write(std::string aKey, std::string aValue, std::uint64_t aIfRevision) = 0;

  /// Deletes an object if its revision is aIfRevision.
  virtual transport::Task<state::Result<void>> Delete(
    std::string aKey,
    std::uint64_t aIfRevision) = 0;

  /// Waits for changes below a prefix after a revision.
  virtual transport::Task<state::Result<WatchResult>>
  Watch(std::string aPrefix, std::uint64_t aAfter, state::Millis aWait) = 0;

  /// Waits for a list of instances newer than a revision.
  virtual transport::Task<state::Result<InstanceList>> Instances(
    std::uint64_t aAfter,
    state::Millis aWait) = 0;

  /// Ends all calls that wait for their answer: they return kTimeout.
  virtual void AbandonCalls() = 0;
};

} // namespace shuntjunction::coordination
