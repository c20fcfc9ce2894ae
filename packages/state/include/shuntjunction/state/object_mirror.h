#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/raw_object.h"

/// A copy of the platform's objects that one process serves to others.
namespace shuntjunction::state {

/// Number of changes that are kept for incremental updates, unless there are
/// more objects: each may change at once, as when a whole fleet is released.
inline constexpr std::size_t kMinMirroredChanges = 1024;

/// How current the objects under a prefix are.
struct MirroredTopic
{
  std::uint64_t mKnownRevision = 0; ///< revision up to which they are known
  std::uint64_t mHistoryStart = 0;  ///< a revision; every later change is kept
  TimePoint mAsOf; ///< all that the platform held at this time is known here
};

/// Status of a topic, as a mirror sends it.
struct TopicStatus
{
  std::string mPrefix;
  std::uint64_t mKnownRevision = 0;
  Millis mAge{ 0 }; ///< of the known state, when it was sent
};

/// What a mirror sends: all its objects, or the changes since an earlier
/// update.
struct MirrorUpdate
{
  std::uint64_t mEpoch = 0;    ///< of the mirror; sequences count within it
  std::uint64_t mSequence = 0; ///< to request the next update from
  bool mIsWhole = false;
  std::optional<Millis> mOutageAge; ///< since the last outage
  Millis mChangesAge{ 0 }; ///< of mChanges, whose ages count up to then
  std::vector<TopicStatus> mTopics;
  std::vector<RawObject> mChanges; ///< deleted objects have no value

  /// Status of a prefix; null when there is none.
  const TopicStatus* Topic(std::string_view aPrefix) const;
};

/// Serializes an update to JSON, and parses it.
///
/// Thread safety: pure.
std::string
WriteMirrorUpdate(const MirrorUpdate& aUpdate);
/// The same with changes that were serialized before; aUpdate.mChanges is
/// ignored.
std::string
WriteMirrorUpdate(const MirrorUpdate& aUpdate, std::string_view aChanges);
/// Serializes changes for WriteMirrorUpdate.
std::string
WriteMirrorChanges(const std::vector<RawObject>& aChanges);
Result<MirrorUpdate>
ReadMirrorUpdate(std::string_view aText, std::string_view aPeer);

/// Holds objects and their latest changes, for watches and for other mirrors.
///
/// Thread safety: none; owned by one thread.
class ObjectMirror
{
public:
  /// @param aEpoch  of this mirror; differs after each start of the process
  explicit ObjectMirror(std::uint64_t aEpoch);

  /// Merges all objects under a prefix, as of a revision.
  void MergeList(std::string_view aPrefix,
                 std::uint64_t aRevision,
                 const std::vector<RawObject>& aObjects,
                 TimePoint aNow);

  /// Merges a changed object; one that is older than the known one changes
  /// nothing.
  void MergeChange(const RawObject& aObject, TimePoint aNow);

  /// Updates how current the objects under a prefix are.
  void UpdateTopic(std::string_view aPrefix,
                   std::uint64_t aKnownRevision,
                   TimePoint aAsOf);

  /// Records an outage of the platform in which entries may have expired.
  ///
  /// @param aAt  until when it lasted, or has lasted so far
  void NoteOutage(TimePoint aAt) { mLastOutage = aAt; }

  /// Until when the last such outage lasted; empty if there was none.
  std::optional<TimePoint> LastOutage() const { return mLastOutage; }

  /// The update for another mirror that has received everything up to a
  /// sequence of an epoch.
  MirrorUpdate UpdateSince(std::uint64_t aEpoch,
                           std::uint64_t aSequence,
                           TimePoint aNow) const;

  /// Whether a mirror that has received everything up to a sequence of an epoch
  /// needs all objects rather than the changes.
  bool NeedsWhole(std::uint64_t aEpoch, std::uint64_t aSequence) const;

  /// Status without objects.
  MirrorUpdate Status(TimePoint aNow) const;

  /// Applies an update from another mirror.
  ///
  /// @param aRequestedAt  when the update was requested
  void Apply(const MirrorUpdate& aUpdate,
             TimePoint aRequestedAt,
             TimePoint aNow);

  /// How current a prefix is; null when nothing is known.
  const MirroredTopic* Topic(std::string_view aPrefix) const;

  /// All objects under a prefix.
  std::vector<RawObject> List(std::string_view aPrefix, TimePoint aNow) const;

  /// Changes under a prefix after a revision; empty when not all are kept.
  std::optional<std::vector<RawObject>> ChangesAfter(std::string_view aPrefix,
                                                     std::uint64_t aRevision,
                                                     TimePoint aNow) const;

private:
  struct Entry
  {
    RawObject mObject;
    TimePoint mReceivedAt; ///< by the first process that received it
    std::uint64_t mSequence = 0;
  };

  static RawObject WithAge(const Entry& aEntry, TimePoint aNow);
  void Append(const RawObject& aObject, TimePoint aReceivedAt);
  MirroredTopic* FindTopic(std::string_view aKey);

  std::uint64_t mEpoch;
  std::uint64_t mSequence = 0;
  std::uint64_t mOldestSequence = 1; ///< sequence of the oldest change kept
  std::map<std::string, Entry, std::less<>> mObjects;
  std::deque<Entry> mChanges;
  std::map<std::string, MirroredTopic, std::less<>> mTopics; ///< by prefix
  std::optional<TimePoint> mLastOutage;
};

} // namespace shuntjunction::state
