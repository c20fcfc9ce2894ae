#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/config_objects.h"
#include "shuntjunction/state/recent_changes.h"

/// The configuration in force, which never goes backwards.
namespace shuntjunction::state {

/// Place of a configuration in its history: epoch, then platform revision.
///
/// The epoch is raised by operators alone, when they take over a platform
/// that was restored to an older state; then its lower revisions count again.
struct ConfigVersion
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mRevision = 0;

  auto operator<=>(const ConfigVersion&) const = default;

  /// Both parts in one number that keeps the order.
  std::uint64_t Packed() const { return (mEpoch << 48U) | mRevision; }

  /// Reverse of Packed.
  static ConfigVersion Unpack(std::uint64_t aPacked)
  {
    return { aPacked >> 48U, aPacked & ((1ULL << 48U) - 1) };
  }
};

/// An object that was not put in force, and why.
struct QuarantinedObject
{
  std::string mKey;
  std::uint64_t mRevision = 0;
  std::string mReason;
};

/// A whole, checked configuration; never changed after it was published.
struct ConfigSnapshot
{
  ConfigVersion mVersion;
  std::unordered_map<std::string, TeamConfig> mTeams;
  std::unordered_map<std::string, ModelConfig> mModels;
  std::unordered_map<std::string, TemplateConfig> mTemplates;
  std::vector<ParametersConfig> mParameters;
  std::unordered_map<std::string, EndpointConfig> mEndpoints;
  std::unordered_map<std::string, ServiceConfig> mServices;
  std::vector<QuarantinedObject> mQuarantined;

  /// Team whose key has this SHA-256 digest; null when none.
  const TeamConfig* TeamByKeyDigest(const std::string& aDigest) const;

  /// Filled from the teams: key digest to team name.
  std::unordered_map<std::string, std::string> mTeamsByDigest;
};

/// What became of an update.
enum class MergeOutcome : std::uint8_t
{
  kApplied,
  kUnchanged, ///< the same content is in force already
  kOlder,     ///< it is older than what is in force, and was not applied
};

/// Names of MergeOutcome.
inline constexpr EnumNames<MergeOutcome, 3> kMergeOutcomeNames{
  { "applied", "unchanged", "older" }
};

/// Keeps the objects and builds snapshots of them.
///
/// Two numbers tell how new a configuration is. Its cursor says as of which
/// revision of the platform it is whole; an answer with a lower cursor is
/// stale and is not applied. Its version is the revision of its newest change
/// and is what processes tell each other: the cursor moves with every write to
/// the platform, the version only with the configuration.
///
/// A whole list replaces all objects if its cursor is newer. A change is
/// applied object by object; an object never goes back to a lower revision
/// within its epoch. An object that cannot be read is quarantined and its last
/// good form stays in force.
///
/// Thread safety: none; owned by the control thread. Snapshots may be read
/// from any thread.
class ConfigStore
{
public:
  ConfigStore();

  /// Takes a whole list of objects as of a platform revision.
  MergeOutcome ApplyList(std::uint64_t aRevision,
                         const std::vector<RawObject>& aObjects);

  /// Takes changes that bring the configuration up to a platform revision.
  ///
  /// @pre  the changes follow on the version in force without a gap
  MergeOutcome ApplyChanges(std::uint64_t aRevision,
                            const std::vector<RawObject>& aChanges);

  /// Takes a configuration from a peer: whole, as Serialize wrote it, or the
  /// changes since an older one, as RecentChanges wrote them.
  ///
  /// Changes are taken only where they lead to the peer's own objects.
  /// @return kConflict when changes do not fit: ask for the whole
  Result<MergeOutcome> ApplyPeer(std::string_view aText,
                                 std::string_view aPeer);

  /// The configuration in force as text for a peer.
  std::string Serialize() const;

  /// The configuration in force; never null.
  std::shared_ptr<const ConfigSnapshot> Current() const { return mCurrent; }

  /// The latest changes, for peers that lack only these.
  const RecentChanges& Recent() const { return mRecent; }

  /// Version in force.
  ConfigVersion Version() const { return mCurrent->mVersion; }

  /// Revision of the platform up to which the configuration is whole.
  ConfigVersion Cursor() const { return mCursor; }

private:
  struct Held
  {
    RawObject mRaw;      ///< newest form seen
    RawObject mGood;     ///< newest form that could be read; may have no value
    std::string mReason; ///< why mRaw is not in force; empty when it is
  };
  using Objects = std::map<std::string, Held>;

  static void Take(Objects& aObjects, const RawObject& aObject);
  static std::uint64_t EpochOf(const Objects& aObjects);
  static bool SameContent(const Objects& aLeft, const Objects& aRight);
  void Publish();

  /// Takes over a peer's version for the same objects: a deletion leaves none
  /// that would tell it to a process that listed after it.
  bool AdoptNewest(std::uint64_t aNewest,
                   const std::vector<RawObject>& aObjects);

  static std::uint64_t Digest(const Objects& aObjects);
  void RestartRecent();
  void AddRecent(const std::vector<RawObject>& aChanges);
  Result<MergeOutcome> ApplyPeerChanges(std::string_view aText,
                                        std::string_view aPeer);

  Objects mObjects;
  RecentChanges mRecent;
  ConfigVersion mCursor;
  std::uint64_t mNewestChange = 0; ///< within the present epoch
  std::shared_ptr<const ConfigSnapshot> mCurrent;
};

} // namespace shuntjunction::state
