#include "shuntjunction/state/recent_changes.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kSinceMember = "{\"since\":";

} // namespace

std::uint64_t
ContentDigest(const RawObject& aObject)
{
  return PlacementHash(aObject.mKey, aObject.mRevision);
}

std::string
WriteConfigChanges(const ConfigChanges& aChanges)
{
  boost::json::array changes;
  for (const auto& change : aChanges.mChanges) {
    changes.push_back(WriteRawObject(change));
  }
  // Its first member tells it from a whole configuration.
  return boost::json::serialize(
    boost::json::object{ { "since", aChanges.mSince },
                         { "epoch", aChanges.mEpoch },
                         { "newest", aChanges.mNewest },
                         { "revision", aChanges.mCursor },
                         { "digest", std::to_string(aChanges.mDigest) },
                         { "changes", std::move(changes) } });
}

bool
IsConfigChanges(std::string_view aText)
{
  return aText.starts_with(kSinceMember);
}

Result<ConfigChanges>
ReadConfigChanges(std::string_view aText, std::string_view aPeer)
{
  const auto value = ParseJson(aText, "changes");
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  JsonReader reader(*value, "changes");
  const auto number = [&](std::string_view aKey) {
    return static_cast<std::uint64_t>(reader.Integer(aKey, 0, INT64_MAX));
  };
  ConfigChanges changes;
  changes.mSince = number("since");
  changes.mEpoch = number("epoch");
  changes.mNewest = number("newest");
  changes.mCursor = number("revision");
  changes.mDigest = std::strtoull(reader.Text("digest").c_str(), nullptr, 10);
  changes.mChanges = ReadRawObjects(reader, "changes");
  if (const auto done = reader.Finish(); !done) {
    Error error = done.error();
    error.mStep = "config.changes";
    error.mPeer = aPeer;
    return tl::unexpected<Error>(std::move(error));
  }
  return changes;
}

void
RecentChanges::Restart(std::uint64_t aEpoch, std::uint64_t aNewest)
{
  mKept = {};
  mBytes = 0;
  mKept.mEpoch = aEpoch;
  mKept.mSince = aNewest;
  mKept.mNewest = aNewest;
}

void
RecentChanges::Add(std::vector<RawObject> aChanges)
{
  std::sort(aChanges.begin(), aChanges.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mRevision < aRight.mRevision;
  });
  auto& kept = mKept.mChanges;
  for (auto& change : aChanges) {
    if (change.mRevision > mKept.mNewest) {
      mKept.mNewest = change.mRevision;
      mBytes += change.mValue.size();
      kept.push_back(std::move(change));
    }
  }
  std::size_t dropped = 0;
  while (
    kept.size() - dropped > 1 &&
    (kept.size() - dropped > kMaxRecentChanges || mBytes > kMaxRecentBytes)) {
    mBytes -= kept[dropped].mValue.size();
    mKept.mSince = kept[dropped].mRevision;
    ++dropped;
  }
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(dropped));
}

void
RecentChanges::Complete(std::uint64_t aCursor, std::uint64_t aDigest)
{
  mKept.mCursor = aCursor;
  mKept.mDigest = aDigest;
}

std::string
RecentChanges::SerializeSince(std::uint64_t aEpoch, std::uint64_t aHave) const
{
  if (aHave == 0 || aEpoch != mKept.mEpoch || aHave < mKept.mSince) {
    return {};
  }
  ConfigChanges changes = mKept;
  changes.mSince = aHave;
  std::erase_if(changes.mChanges, [&](const RawObject& aChange) {
    return aChange.mRevision <= aHave;
  });
  return WriteConfigChanges(changes);
}

} // namespace shuntjunction::state
