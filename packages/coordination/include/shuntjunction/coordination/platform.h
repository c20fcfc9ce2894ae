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

/// Interface to the platform: objects, watches and the list of instances.
namespace shuntjunction::coordination {

/// Freshness of data that another process served in place of the platform.
struct MirrorFreshness
{
  /// The data includes every change made in the platform up to this time.
  state::TimePoint mAsOf;
  /// Until when the last outage lasted in which entries may have expired, as
  /// that process saw it.
  std::optional<state::TimePoint> mOutageAt;
};

/// Objects as of a platform revision.
struct ObjectList
{
  std::uint64_t mRevision = 0;
  std::vector<state::RawObject> mObjects;
  /// Empty if the platform itself responded.
  std::optional<MirrorFreshness> mMirrorFreshness;
};

/// The result of a watch.
struct WatchResult
{
  std::uint64_t mRevision = 0;
  std::vector<state::RawObject> mChanges; ///< deleted objects have no value
  bool mIsGap = false;                    ///< changes were lost; list again
  /// Empty if the platform itself responded.
  std::optional<MirrorFreshness> mMirrorFreshness;
};

/// The list of instances, including those that are leaving.
struct InstanceList
{
  std::uint64_t mRevision = 0;
  std::vector<state::InstanceInfo> mInstances;
};

/// Serializes an instance as JSON.
boost::json::object
WriteInstance(const state::InstanceInfo& aInstance);

/// Reads the list of instances under the key "instances".
std::vector<state::InstanceInfo>
ReadInstances(state::JsonReader& aReader);

/// Maps an HTTP error status of a platform call to an error code.
///
/// Thread safety: pure.
/// @return kUnavailable if the call had no effect, kConflict if a condition was
///         not met, kTimeout if the effect is unknown, else kInvalidArgument
state::ErrorCode
PlatformErrorOf(unsigned aStatus);

/// The platform's service, independent of its protocol.
///
/// Every method makes exactly one call; the platform counts calls.
/// Thread safety: none; an instance is used on one thread.
/// Errors: kUnavailable if the call certainly had no effect, kTimeout if its
/// effect is unknown, kConflict if a condition was not met.
class Platform
{
public:
  virtual ~Platform() = default;

  /// Lists all objects whose keys begin with a prefix.
  virtual transport::Task<state::Result<ObjectList>> List(
    std::string aPrefix) = 0;

  /// Lists like List, but from a copy that may be some seconds old if the
  /// platform has one that is cheaper to read.
  virtual transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) = 0;

  /// Reads an object; empty if it does not exist.
  virtual transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) = 0;

  /// Writes an object if its revision is aIfRevision; with 0, the object must
  /// not exist.
  ///
  /// @return the object's new revision
  virtual transport::Task<state::Result<std::uint64_t>>
  Write(std::string aKey, std::string aValue, std::uint64_t aIfRevision) = 0;

  /// Writes the status of an object if its revision is aIfRevision.
  ///
  /// @return the object's new revision; kInvalidArgument where objects have no
  ///         status
  virtual transport::Task<state::Result<std::uint64_t>>
  WriteStatus(std::string aKey, std::string aStatus, std::uint64_t aIfRevision);

  /// Deletes an object if its revision is aIfRevision.
  virtual transport::Task<state::Result<void>> Delete(
    std::string aKey,
    std::uint64_t aIfRevision) = 0;

  /// Waits for changes below a prefix after a revision.
  virtual transport::Task<state::Result<WatchResult>>
  Watch(std::string aPrefix, std::uint64_t aAfter, state::Millis aWait) = 0;

  /// Waits for a list of instances that is newer than a revision.
  virtual transport::Task<state::Result<InstanceList>> Instances(
    std::uint64_t aAfter,
    state::Millis aWait) = 0;

  /// Aborts all pending calls; they return kTimeout.
  virtual void AbortPendingCalls() = 0;
};

} // namespace shuntjunction::coordination
