#include "shuntjunction/state/object_mirror.h"

#include <algorithm>
#include <set>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

/// Longest age that is told: more is as good as never.
constexpr std::int64_t kMostAgeMs = 24LL * 3600 * 1000;

std::int64_t
AgeOf(TimePoint aAt, TimePoint aNow)
{
  const auto age = std::chrono::ceil<Millis>(aNow - aAt).count();
  return std::clamp<std::int64_t>(age, 0, kMostAgeMs);
}

Millis
ReadAge(JsonReader& aReader, std::string_view aKey)
{
  return Millis(aReader.Integer(aKey, 0, kMostAgeMs));
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
WriteMirrorUpdate(const MirrorUpdate& aPage)
{
  boost::json::array topics;
  for (const auto& topic : aPage.mTopics) {
    topics.push_back({ { "prefix", topic.mPrefix },
                       { "known", topic.mKnownRevision },
                       { "age_ms", topic.mAge.count() } });
  }
  boost::json::array changes;
  for (const auto& change : aPage.mChanges) {
    auto object = WriteRawObject(change);
    object["age_ms"] = change.mAge.count();
    changes.push_back(std::move(object));
  }
  boost::json::object page{ { "epoch", aPage.mEpoch },
                            { "sequence", aPage.mSequence },
                            { "whole", aPage.mIsWhole },
                            { "topics", std::move(topics) },
                            { "changes", std::move(changes) } };
  if (aPage.mTroubleAge) {
    page["trouble_age_ms"] = aPage.mTroubleAge->count();
  }
  return boost::json::serialize(page);
}

Result<MirrorUpdate>
ReadMirrorUpdate(std::string_view aText, std::string_view aPeer)
{
  const auto value = ParseUntrustedJson(aText, "page");
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  JsonReader reader(*value, "page");
  MirrorUpdate page;
  page.mEpoch = ReadNumber(reader, "epoch");
  page.mSequence = ReadNumber(reader, "sequence");
  page.mIsWhole = reader.Flag("whole", false);
  ReadList(reader, "topics", [&](JsonReader& aTopic) {
    page.mTopics.push_back({ aTopic.Text("prefix"),
                             ReadNumber(aTopic, "known"),
                             ReadAge(aTopic, "age_ms") });
  });
  ReadList(reader, "changes", [&](JsonReader& aChange) {
    auto object = ReadRawObject(aChange);
    object.mAge = ReadAge(aChange, "age_ms");
    page.mChanges.push_back(std::move(object));
  });
  if (reader.Find("trouble_age_ms") != nullptr) {
    page.mTroubleAge = ReadAge(reader, "trouble_age_ms");
  }
  if (const auto done = reader.Finish(); !done) {
    Error error = done.error();
    error.mStep = "mirror.page";
    error.mPeer = aPeer;
    return tl::unexpected<Error>(std::move(error));
  }
  return page;
}

ObjectMirror::ObjectMirror(std::uint64_t aEpoch)
  : mEpoch(aEpoch)
{
}

RawObject
ObjectMirror::Aged(const Entry& aEntry, TimePoint aNow)
{
  RawObject object = aEntry.mObject;
  object.mAge = Millis(AgeOf(aEntry.mHeardAt, aNow));
  return object;
}

MirroredTopic*
ObjectMirror::TopicOf(std::string_view aKey)
{
  const auto found =
    std::find_if(mTopics.begin(), mTopics.end(), [&](const auto& aTopic) {
      return aKey.starts_with(aTopic.first);
    });
  return found == mTopics.end() ? nullptr : &found->second;
}

void
ObjectMirror::Append(const RawObject& aObject, TimePoint aHeardAt)
{
  Entry entry{ aObject, aHeardAt, ++mSequence };
  if (aObject.mValue.empty()) {
    mObjects.erase(aObject.mKey);
  } else {
    mObjects[aObject.mKey] = entry;
  }
  mChanges.push_back(std::move(entry));
  if (mChanges.size() <= kMaxMirroredChanges) {
    return;
  }
  const auto& oldest = mChanges.front();
  if (auto* topic = TopicOf(oldest.mObject.mKey)) {
    topic->mSince = std::max(topic->mSince, oldest.mObject.mRevision);
  }
  mFirstKept = oldest.mSequence + 1;
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
    // What went before the first list is not known.
    topic.mSince = aRevision;
  }
  std::set<std::string_view> listed;
  for (const auto& object : aObjects) {
    listed.insert(object.mKey);
    MergeChange(object, aNow);
  }
  std::vector<std::string> gone;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (!listed.contains(it->first)) {
      gone.push_back(it->first);
    }
  }
  for (const auto& key : gone) {
    Append({ key, aRevision, {} }, aNow);
  }
}

void
ObjectMirror::MergeChange(const RawObject& aObject, TimePoint aNow)
{
  const auto known = mObjects.find(aObject.mKey);
  const bool isDeleted = aObject.mValue.empty();
  const bool isNews = known == mObjects.end()
                        ? !isDeleted
                        : known->second.mObject.mRevision < aObject.mRevision;
  if (isNews) {
    Append(aObject, aNow - aObject.mAge);
  }
}

void
ObjectMirror::UpdateTopic(std::string_view aPrefix,
                          std::uint64_t aKnown,
                          TimePoint aAsOf)
{
  auto& topic = mTopics.try_emplace(std::string(aPrefix)).first->second;
  topic.mKnownRevision = std::max(topic.mKnownRevision, aKnown);
  topic.mAsOf = std::max(topic.mAsOf, aAsOf);
}

MirrorUpdate
ObjectMirror::UpdateSince(std::uint64_t aEpoch,
                          std::uint64_t aSequence,
                          TimePoint aNow) const
{
  MirrorUpdate page;
  page.mEpoch = mEpoch;
  page.mSequence = mSequence;
  page.mIsWhole = aEpoch != mEpoch || aSequence + 1 < mFirstKept ||
                  aSequence > mSequence || aSequence == 0;
  for (const auto& [prefix, topic] : mTopics) {
    page.mTopics.push_back(
      { prefix, topic.mKnownRevision, Millis(AgeOf(topic.mAsOf, aNow)) });
  }
  if (mTroubleAt) {
    page.mTroubleAge = Millis(AgeOf(*mTroubleAt, aNow));
  }
  if (page.mIsWhole) {
    for (const auto& [key, entry] : mObjects) {
      page.mChanges.push_back(Aged(entry, aNow));
    }
    return page;
  }
  for (const auto& entry : mChanges) {
    if (entry.mSequence > aSequence) {
      page.mChanges.push_back(Aged(entry, aNow));
    }
  }
  return page;
}

void
ObjectMirror::Apply(const MirrorUpdate& aPage,
                    TimePoint aAskedAt,
                    TimePoint aNow)
{
  if (aPage.mIsWhole) {
    mObjects.clear();
    mChanges.clear();
    mTopics.clear();
    mFirstKept = mSequence + 1;
  }
  for (const auto& topic : aPage.mTopics) {
    UpdateTopic(topic.mPrefix, topic.mKnownRevision, aAskedAt - topic.mAge);
    if (aPage.mIsWhole) {
      mTopics.find(topic.mPrefix)->second.mSince = topic.mKnownRevision;
    }
  }
  for (const auto& change : aPage.mChanges) {
    MergeChange(change, aNow);
  }
  if (aPage.mTroubleAge) {
    mTroubleAt = aNow - *aPage.mTroubleAge;
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
    objects.push_back(Aged(it->second, aNow));
  }
  return objects;
}

std::optional<std::vector<RawObject>>
ObjectMirror::ChangesAfter(std::string_view aPrefix,
                           std::uint64_t aRevision,
                           TimePoint aNow) const
{
  const auto* topic = Topic(aPrefix);
  if (topic == nullptr || aRevision < topic->mSince) {
    return std::nullopt;
  }
  std::vector<RawObject> changes;
  for (const auto& entry : mChanges) {
    if (entry.mObject.mRevision > aRevision &&
        entry.mObject.mKey.starts_with(aPrefix)) {
      changes.push_back(Aged(entry, aNow));
    }
  }
  return changes;
}

} // namespace shuntjunction::state
