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

/// The platform's objects as one process tells them to others.
namespace shuntjunction::state {

/// Changes that are kept for those who lack only these, at most.
inline constexpr std::size_t kMaxMirroredChanges = 1024;

/// How far the objects below a prefix are known.
struct MirroredTopic
{
  std::uint64_t mKnownRevision = 0; ///< revision up to which they are known
  std::uint64_t mSince = 0; ///< revision from which every change is kept
  TimePoint mAsOf; ///< all that the platform knew by then is known here
};

/// What a mirror tells of a topic.
struct TopicStatus
{
  std::string mPrefix;
  std::uint64_t mKnownRevision = 0;
  Millis mAge{ 0 }; ///< of what is known, when it was told
};

/// What a mirror tells: all its objects, or what changed since it told before.
struct MirrorUpdate
{
  std::uint64_t mEpoch = 0;    ///< of the mirror; others count otherwise
  std::uint64_t mSequence = 0; ///< to ask from next
  bool mIsWhole = false;
  std::optional<Millis> mTroubleAge; ///< since the platform failed it last
  std::vector<TopicStatus> mTopics;
  std::vector<RawObject> mChanges; ///< deleted ones have no value

  /// What it tells of a prefix; null when nothing.
  const TopicStatus* Topic(std::string_view aPrefix) const;
};

/// A page as JSON text, and back.
///
/// Thread safety: pure.
std::string
WriteMirrorUpdate(const MirrorUpdate& aPage);
Result<MirrorUpdate>
ReadMirrorUpdate(std::string_view aText, std::string_view aPeer);

/// Keeps objects with their latest changes, for watches and for other mirrors.
///
/// Thread safety: none; owned by one thread.
class ObjectMirror
{
public:
  /// @param aEpoch  of this mirror, another in each life of a process
  explicit ObjectMirror(std::uint64_t aEpoch);

  /// Takes all objects below a prefix, as of a revision.
  void MergeList(std::string_view aPrefix,
                 std::uint64_t aRevision,
                 const std::vector<RawObject>& aObjects,
                 TimePoint aNow);

  /// Takes a changed object; one that is older than what is known changes
  /// nothing.
  void MergeChange(const RawObject& aObject, TimePoint aNow);

  /// Notes how far the objects below a prefix are known.
  void UpdateTopic(std::string_view aPrefix,
                   std::uint64_t aKnown,
                   TimePoint aAsOf);

  /// Notes that the platform failed this process.
  void NotePlatformFailure(TimePoint aAt) { mTroubleAt = aAt; }

  /// When the platform failed it last; empty: never.
  std::optional<TimePoint> LastPlatformFailure() const { return mTroubleAt; }

  /// What another mirror lacks that was told up to a sequence of an epoch.
  MirrorUpdate UpdateSince(std::uint64_t aEpoch,
                           std::uint64_t aSequence,
                           TimePoint aNow) const;

  /// Takes the answer of another mirror to a question.
  ///
  /// @param aAskedAt  when the question was asked
  void Apply(const MirrorUpdate& aPage, TimePoint aAskedAt, TimePoint aNow);

  /// How far a prefix is known; null when nothing is.
  const MirroredTopic* Topic(std::string_view aPrefix) const;

  /// All objects below a prefix.
  std::vector<RawObject> List(std::string_view aPrefix, TimePoint aNow) const;

  /// Changes below a prefix after a revision; empty when they are not all kept.
  std::optional<std::vector<RawObject>> ChangesAfter(std::string_view aPrefix,
                                                     std::uint64_t aRevision,
                                                     TimePoint aNow) const;

private:
  struct Entry
  {
    RawObject mObject;
    TimePoint mHeardAt; ///< by whoever heard of it first
    std::uint64_t mSequence = 0;
  };

  static RawObject Aged(const Entry& aEntry, TimePoint aNow);
  void Append(const RawObject& aObject, TimePoint aHeardAt);
  MirroredTopic* TopicOf(std::string_view aKey);

  std::uint64_t mEpoch;
  std::uint64_t mSequence = 0;
  std::uint64_t mFirstKept = 1; ///< sequence of the oldest change that is kept
  std::map<std::string, Entry, std::less<>> mObjects;
  std::deque<Entry> mChanges;
  std::map<std::string, MirroredTopic, std::less<>> mTopics; ///< by prefix
  std::optional<TimePoint> mTroubleAt;
};

} // namespace shuntjunction::state
