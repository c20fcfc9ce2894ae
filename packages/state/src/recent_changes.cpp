#include "shuntjunction/state/recent_changes.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kChangesPrefix = "{\"since\":";

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
  // The first member distinguishes it from a full configuration.
  return boost::json::serialize(
    boost::json::object{ { "since", aChanges.mBaseRevision },
                         { "epoch", aChanges.mEpoch },
                         { "newest", aChanges.mNewest },
                         { "revision", aChanges.mCursor },
                         { "digest", std::to_string(aChanges.mDigest) },
                         { "changes", std::move(changes) } });
}

bool
IsConfigChanges(std::string_view aText)
{
  return aText.starts_with(kChangesPrefix);
}

Result<ConfigChanges>
ReadConfigChanges(std::string_view aText, std::string_view aPeer)
{
  const auto value = ParseUntrustedJson(aText, "changes");
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  JsonReader reader(*value, "changes");
  const auto number = [&](std::string_view aKey) {
    return static_cast<std::uint64_t>(reader.Integer(aKey, 0, INT64_MAX));
  };
  ConfigChanges changes;
  changes.mBaseRevision = number("since");
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
RecentChanges::Reset(std::uint64_t aEpoch, std::uint64_t aNewest)
{
  mRetained = {};
  mBytes = 0;
  mRetained.mEpoch = aEpoch;
  mRetained.mBaseRevision = aNewest;
  mRetained.mNewest = aNewest;
}

void
RecentChanges::Add(std::vector<RawObject> aChanges)
{
  std::sort(aChanges.begin(), aChanges.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mRevision < aRight.mRevision;
  });
  auto& retained = mRetained.mChanges;
  for (auto& change : aChanges) {
    if (change.mRevision > mRetained.mNewest) {
      mRetained.mNewest = change.mRevision;
      mBytes += change.mValue.size();
      retained.push_back(std::move(change));
    }
  }
  std::size_t dropped = 0;
  while (retained.size() - dropped > 1 &&
         (retained.size() - dropped > kMaxRecentChanges ||
          mBytes > kMaxRecentBytes)) {
    mBytes -= retained[dropped].mValue.size();
    mRetained.mBaseRevision = retained[dropped].mRevision;
    ++dropped;
  }
  retained.erase(retained.begin(),
                 retained.begin() + static_cast<std::ptrdiff_t>(dropped));
}

void
RecentChanges::SetEndState(std::uint64_t aCursor, std::uint64_t aDigest)
{
  mRetained.mCursor = aCursor;
  mRetained.mDigest = aDigest;
}

std::string
RecentChanges::SerializeSince(std::uint64_t aEpoch,
                              std::uint64_t aPeerRevision) const
{
  if (aPeerRevision == 0 || aEpoch != mRetained.mEpoch ||
      aPeerRevision < mRetained.mBaseRevision) {
    return {};
  }
  ConfigChanges changes = mRetained;
  changes.mBaseRevision = aPeerRevision;
  std::erase_if(changes.mChanges, [&](const RawObject& aChange) {
    return aChange.mRevision <= aPeerRevision;
  });
  return WriteConfigChanges(changes);
}

} // namespace shuntjunction::state
