#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Records of the software version that began each stream.
namespace shuntjunction::state {

/// Compact id of a stream: the hash of the id of the request that brought its
/// first event.
using StreamHash = std::uint64_t;

/// The version at which a stream began.
struct StreamRecord
{
  StreamHash mStream = 0;
  std::string mVersion;
  Millis mLifetime{ 0 }; ///< for which the stream may be resumed
};

/// What is known of the version of a stream.
enum class StreamKnowledge : std::uint8_t
{
  kUnknown,
  kKnown,
  kAmbiguous, ///< several versions were recorded
};

/// Names of StreamKnowledge.
inline constexpr EnumNames<StreamKnowledge, 3> kStreamKnowledgeNames{
  { "unknown", "known", "ambiguous" }
};

/// Result of looking up a stream.
struct StreamLookup
{
  StreamKnowledge mKnowledge = StreamKnowledge::kUnknown;
  std::string mVersion; ///< if known
};

/// Settings of StreamRecordTable.
struct StreamRecordSettings
{
  /// About 150 bytes each.
  std::size_t mMaxRecords = 32768;
  Millis mMaxLifetime{ 120000 };
};

/// Records that one process keeps for a time. Beyond the limit those that end
/// first are dropped.
///
/// Thread safety: none; owned by one thread.
class StreamRecordTable
{
public:
  explicit StreamRecordTable(const StreamRecordSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a record, or extends the lifetime of an equal one. Another version
  /// for the same stream makes it ambiguous.
  void Note(const StreamRecord& aRecord, TimePoint aNow);

  /// What is known of a stream.
  StreamLookup Find(StreamHash aStream, TimePoint aNow) const;

  /// Number of records, expired ones included.
  std::size_t Size() const { return mRecords.size(); }

private:
  struct Entry
  {
    StreamLookup mLookup;
    TimePoint mUntil;
  };

  void Expire(TimePoint aNow);

  StreamRecordSettings mSettings;
  std::unordered_map<StreamHash, Entry> mRecords;
  std::multimap<TimePoint, StreamHash> mByEnd; ///< one for each extension too
};

} // namespace shuntjunction::state
