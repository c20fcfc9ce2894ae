#include "shuntjunction/state/object_mirror.h"

#include <algorithm>
#include <set>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

/// Maximum age that is sent; an older state is as outdated as one that was
/// never received.
constexpr std::int64_t kMaxAgeMs = 24LL * 3600 * 1000;

std::int64_t
AgeOf(TimePoint aAt, TimePoint aNow)
{
  const auto age = std::chrono::ceil<Millis>(aNow - aAt).count();
  return std::clamp<std::int64_t>(age, 0, kMaxAgeMs);
}

Millis
ReadAge(JsonReader& aReader, std::string_view aKey)
{
  return Millis(aReader.Integer(aKey, 0, kMaxAgeMs));
}

std::uint64_t
ReadNumber(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.Integer(aKey, 0, INT64_MAX));
}

} // namespace

const TopicStatus*
MirrorUpdate::Topic(std::string_view aPrefix) const
{
  const auto found =
    std::find_if(mTopics.begin(), mTopics.end(), [&](const auto& aTopic) {
      return aTopic.mPrefix == aPrefix;
    });
  return found == mTopics.end() ? nullptr : &*found;
}

std::string
WriteMirrorChanges(const std::vector<RawObject>& aChanges)
{
  boost::json::array changes;
  for (const auto& change : aChanges) {
    auto object = WriteRawObject(change);
    object["age_ms"] = change.mAge.count();
    changes.push_back(std::move(object));
  }
  return boost::json::serialize(changes);
}

std::string
WriteMirrorUpdate(const MirrorUpdate& aUpdate)
{
  return WriteMirrorUpdate(aUpdate, WriteMirrorChanges(aUpdate.mChanges));
}

std::string
WriteMirrorUpdate(const MirrorUpdate& aUpdate, std::string_view aChanges)
{
  boost::json::array topics;
  for (const auto& topic : aUpdate.mTopics) {
    topics.push_back({ { "prefix", topic.mPrefix },
                       { "known", topic.mKnownRevision },
                       { "age_ms", topic.mAge.count() } });
  }
  boost::json::object update{ { "epoch", aUpdate.mEpoch },
                              { "sequence", aUpdate.mSequence },
                              { "whole", aUpdate.mIsWhole },
                              { "topics", std::move(topics) } };
  if (aUpdate.mOutageAge) {
    update["trouble_age_ms"] = aUpdate.mOutageAge->count();
  }
  if (aUpdate.mChangesAge > Millis(0)) {
    update["changes_age_ms"] = aUpdate.mChangesAge.count();
  }
  // The changes may be long and are shared by many updates: they are appended
  // as text.
  auto text = boost::json::serialize(update);
  text.pop_back();
  text += ",\"changes\":";
  text += aChanges;
  text += '}';
  return text;
}

Result<MirrorUpdate>
ReadMirrorUpdate(std::string_view aText, std::string_view aPeer)
{
  const auto value = ParseUntrustedJson(aText, "page");
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  JsonReader reader(*value, "page");
  MirrorUpdate update;
  update.mEpoch = ReadNumber(reader, "epoch");
  update.mSequence = ReadNumber(reader, "sequence");
  update.mIsWhole = reader.Flag("whole", false);
  ReadList(reader, "topics", [&](JsonReader& aTopic) {
    update.mTopics.push_back({ aTopic.Text("prefix"),
                               ReadNumber(aTopic, "known"),
                               ReadAge(aTopic, "age_ms") });
  });
  if (reader.Find("changes_age_ms") != nullptr) {
    update.mChangesAge = ReadAge(reader, "changes_age_ms");
  }
  ReadList(reader, "changes", [&](JsonReader& aChange) {
    auto object = ReadRawObject(aChange);
    object.mAge = ReadAge(aChange, "age_ms") + update.mChangesAge;
    update.mChanges.push_back(std::move(object));
  });
  if (reader.Find("trouble_age_ms") != nullptr) {
    update.mOutageAge = ReadAge(reader, "trouble_age_ms");
  }
  if (const auto done = reader.Finish(); !done) {
    Error error = done.error();
    error.mStep = "mirror.page";
    error.mPeer = aPeer;
    return tl::unexpected<Error>(std::move(error));
  }
  return update;
}

ObjectMirror::ObjectMirror(std::uint64_t aEpoch)
  : mEpoch(aEpoch)
{
}

RawObject
ObjectMirror::WithAge(const Entry& aEntry, TimePoint aNow)
{
  RawObject object = aEntry.mObject;
  object.mAge = Millis(AgeOf(aEntry.mReceivedAt, aNow));
  return object;
}

MirroredTopic*
ObjectMirror::FindTopic(std::string_view aKey)
{
  const auto found =
    std::find_if(mTopics.begin(), mTopics.end(), [&](const auto& aTopic) {
      return aKey.starts_with(aTopic.first);
    });
  return found == mTopics.end() ? nullptr : &found->second;
}

void
ObjectMirror::Append(const RawObject& aObject, TimePoint aReceivedAt)
{
  Entry entry{ aObject, aReceivedAt, ++mSequence };
  if (aObject.mValue.empty()) {
    mObjects.erase(aObject.mKey);
  } else {
    mObjects[aObject.mKey] = entry;
  }
  mChanges.push_back(std::move(entry));
  if (mChanges.size() <= std::max(kMinMirroredChanges, mObjects.size())) {
    return;
  }
  const auto& oldest = mChanges.front();
  if (auto* topic = FindTopic(oldest.mObject.mKey)) {
    topic->mHistoryStart =
      std::max(topic->mHistoryStart, oldest.mObject.mRevision);
  }
  mOldestSequence = oldest.mSequence + 1;
  mChanges.pop_front();
}

void
ObjectMirror::MergeList(std::string_view aPrefix,
                        std::uint64_t aRevision,
                        const std::vector<RawObject>& aObjects,
                        TimePoint aNow)
{
  auto& topic = mTopics.try_emplace(std::string(aPrefix)).first->second;
  if (topic.mKnownRevision == 0) {
    // Changes before the first list are not known.
    topic.mHistoryStart = aRevision;
  }
  std::set<std::string_view> listed;
  for (const auto& object : aObjects) {
    listed.insert(object.mKey);
    MergeChange(object, aNow);
  }
  std::vector<std::string> removed;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (!listed.contains(it->first)) {
      removed.push_back(it->first);
    }
  }
  for (const auto& key : removed) {
    Append({ key, aRevision, {} }, aNow);
  }
}

void
ObjectMirror::MergeChange(const RawObject& aObject, TimePoint aNow)
{
  const auto known = mObjects.find(aObject.mKey);
  const bool isDeleted = aObject.mValue.empty();
  const bool isNewer = known == mObjects.end()
                         ? !isDeleted
                         : known->second.mObject.mRevision < aObject.mRevision;
  if (isNewer) {
    Append(aObject, aNow - aObject.mAge);
  }
}

void
ObjectMirror::UpdateTopic(std::string_view aPrefix,
                          std::uint64_t aKnownRevision,
                          TimePoint aAsOf)
{
  auto& topic = mTopics.try_emplace(std::string(aPrefix)).first->second;
  topic.mKnownRevision = std::max(topic.mKnownRevision, aKnownRevision);
  topic.mAsOf = std::max(topic.mAsOf, aAsOf);
}

bool
ObjectMirror::NeedsWhole(std::uint64_t aEpoch, std::uint64_t aSequence) const
{
  return aEpoch != mEpoch || aSequence + 1 < mOldestSequence ||
         aSequence > mSequence || aSequence == 0;
}

MirrorUpdate
ObjectMirror::Status(TimePoint aNow) const
{
  MirrorUpdate update;
  update.mEpoch = mEpoch;
  update.mSequence = mSequence;
  for (const auto& [prefix, topic] : mTopics) {
    update.mTopics.push_back(
      { prefix, topic.mKnownRevision, Millis(AgeOf(topic.mAsOf, aNow)) });
  }
  if (mLastOutage) {
    update.mOutageAge = Millis(AgeOf(*mLastOutage, aNow));
  }
  return update;
}

MirrorUpdate
ObjectMirror::UpdateSince(std::uint64_t aEpoch,
                          std::uint64_t aSequence,
                          TimePoint aNow) const
{
  auto update = Status(aNow);
  update.mIsWhole = NeedsWhole(aEpoch, aSequence);
  if (update.mIsWhole) {
    for (const auto& [key, entry] : mObjects) {
      update.mChanges.push_back(WithAge(entry, aNow));
    }
    return update;
  }
  for (const auto& entry : mChanges) {
    if (entry.mSequence > aSequence) {
      update.mChanges.push_back(WithAge(entry, aNow));
    }
  }
  return update;
}

void
ObjectMirror::Apply(const MirrorUpdate& aUpdate,
                    TimePoint aRequestedAt,
                    TimePoint aNow)
{
  if (aUpdate.mIsWhole) {
    mObjects.clear();
    mChanges.clear();
    mTopics.clear();
    mOldestSequence = mSequence + 1;
  }
  for (const auto& topic : aUpdate.mTopics) {
    UpdateTopic(topic.mPrefix, topic.mKnownRevision, aRequestedAt - topic.mAge);
    if (aUpdate.mIsWhole) {
      mTopics.find(topic.mPrefix)->second.mHistoryStart = topic.mKnownRevision;
    }
  }
  for (const auto& change : aUpdate.mChanges) {
    MergeChange(change, aNow);
  }
  if (aUpdate.mOutageAge) {
    mLastOutage = aNow - *aUpdate.mOutageAge;
  }
}

const MirroredTopic*
ObjectMirror::Topic(std::string_view aPrefix) const
{
  const auto found = mTopics.find(aPrefix);
  return found == mTopics.end() ? nullptr : &found->second;
}

std::vector<RawObject>
ObjectMirror::List(std::string_view aPrefix, TimePoint aNow) const
{
  std::vector<RawObject> objects;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    objects.push_back(WithAge(it->second, aNow));
  }
  return objects;
}

std::optional<std::vector<RawObject>>
ObjectMirror::ChangesAfter(std::string_view aPrefix,
                           std::uint64_t aRevision,
                           TimePoint aNow) const
{
  const auto* topic = Topic(aPrefix);
  if (topic == nullptr || aRevision < topic->mHistoryStart) {
    return std::nullopt;
  }
  std::vector<RawObject> changes;
  for (const auto& entry : mChanges) {
    if (entry.mObject.mRevision > aRevision &&
        entry.mObject.mKey.starts_with(aPrefix)) {
      changes.push_back(WithAge(entry, aNow));
    }
  }
  return changes;
}

} // namespace shuntjunction::state
