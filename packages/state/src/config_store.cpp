#include "shuntjunction/state/config_store.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

/// Puts the good form of one object into a snapshot.
void
AddObject(ConfigSnapshot& aSnapshot, const RawObject& aObject)
{
  const auto key = ParseConfigKey(aObject.mKey);
  const auto value = ParseJson(aObject.mValue, aObject.mKey);
  if (!key || !value) {
    return;
  }
  const std::string& name = key->mName;
  switch (key->mKind) {
    case ConfigKind::kTeam:
      if (auto team = ReadTeam(name, *value)) {
        for (const auto& digest : team->mKeyDigests) {
          aSnapshot.mTeamsByDigest.emplace(digest, name);
        }
        aSnapshot.mTeams.emplace(name, std::move(*team));
      }
      break;
    case ConfigKind::kModel:
      if (auto model = ReadModel(name, *value)) {
        aSnapshot.mModels.emplace(name, std::move(*model));
      }
      break;
    case ConfigKind::kTemplate:
      if (auto config = ReadTemplate(name, *value)) {
        aSnapshot.mTemplates.emplace(name, std::move(*config));
      }
      break;
    case ConfigKind::kParameters:
      if (auto config = ReadParameters(name, *value)) {
        aSnapshot.mParameters.push_back(std::move(*config));
      }
      break;
    case ConfigKind::kEndpoint:
      if (auto config = ReadEndpoint(name, *value)) {
        aSnapshot.mEndpoints.emplace(name, std::move(*config));
      }
      break;
    case ConfigKind::kService:
      if (auto config = ReadService(name, *value)) {
        aSnapshot.mServices.emplace(name, std::move(*config));
      }
      break;
    case ConfigKind::kEpoch:
      break;
  }
}

Result<void>
CheckRaw(const RawObject& aObject)
{
  const auto value = ParseJson(aObject.mValue, aObject.mKey);
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  return CheckConfigObject(aObject.mKey, *value);
}

boost::json::object
ToJson(const RawObject& aObject)
{
  return { { "key", aObject.mKey },
           { "revision", aObject.mRevision },
           { "value", aObject.mValue } };
}

RawObject
ReadRaw(JsonReader& aReader)
{
  RawObject object;
  object.mKey = aReader.Text("key");
  object.mRevision =
    static_cast<std::uint64_t>(aReader.Integer("revision", 0, INT64_MAX));
  object.mValue = aReader.Text("value");
  return object;
}

} // namespace

const TeamConfig*
ConfigSnapshot::TeamByKeyDigest(const std::string& aDigest) const
{
  const auto name = mTeamsByDigest.find(aDigest);
  if (name == mTeamsByDigest.end()) {
    return nullptr;
  }
  const auto team = mTeams.find(name->second);
  return team == mTeams.end() ? nullptr : &team->second;
}

ConfigStore::ConfigStore()
  : mCurrent(std::make_shared<const ConfigSnapshot>())
{
}

void
ConfigStore::Take(Objects& aObjects, const RawObject& aObject)
{
  Held& held = aObjects[aObject.mKey];
  if (aObject.mRevision < held.mRaw.mRevision) {
    return;
  }
  held.mRaw = aObject;
  held.mReason.clear();
  if (aObject.mValue.empty()) {
    held.mGood = aObject;
    return;
  }
  const auto checked = CheckRaw(aObject);
  if (checked) {
    held.mGood = aObject;
  } else {
    held.mReason = checked.error().mText;
  }
}

std::uint64_t
ConfigStore::EpochOf(const Objects& aObjects)
{
  const auto held = aObjects.find(std::string(kEpochKey));
  if (held == aObjects.end() || held->second.mGood.mValue.empty()) {
    return 0;
  }
  const auto value = ParseJson(held->second.mGood.mValue, kEpochKey);
  return value ? ReadEpoch(*value).value_or(0) : 0;
}

bool
ConfigStore::SameContent(const Objects& aLeft, const Objects& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.second.mRaw == aOther.second.mRaw;
                    });
}

MergeOutcome
ConfigStore::ApplyList(std::uint64_t aRevision,
                       const std::vector<RawObject>& aObjects)
{
  Objects objects;
  for (const auto& object : aObjects) {
    Take(objects, object);
  }
  const ConfigVersion offered{ EpochOf(objects), aRevision };
  if (offered < mCursor) {
    return MergeOutcome::kOlder;
  }
  const bool isNewEpoch = offered.mEpoch != mCursor.mEpoch;
  const bool isSame = SameContent(objects, mObjects);
  if (offered == mCursor && !isSame && mCursor != ConfigVersion{}) {
    // One revision, two contents: the platform was restored and went on.
    return MergeOutcome::kOlder;
  }
  mCursor = offered;
  if (!isNewEpoch && isSame) {
    return MergeOutcome::kUnchanged;
  }
  // An object that turned bad keeps the good form it had here.
  for (auto& [key, held] : objects) {
    const auto before = mObjects.find(key);
    if (!held.mReason.empty() && before != mObjects.end()) {
      held.mGood = before->second.mGood;
    }
  }
  mObjects = std::move(objects);
  mNewestChange = isNewEpoch ? 0 : mNewestChange;
  Publish();
  return MergeOutcome::kApplied;
}

MergeOutcome
ConfigStore::ApplyChanges(std::uint64_t aRevision,
                          const std::vector<RawObject>& aChanges)
{
  if (aRevision < mCursor.mRevision) {
    return MergeOutcome::kOlder;
  }
  mCursor.mRevision = aRevision;
  if (aChanges.empty()) {
    return MergeOutcome::kUnchanged;
  }
  for (const auto& change : aChanges) {
    Take(mObjects, change);
  }
  // The epoch only rises, whatever an operator writes.
  const std::uint64_t epoch = EpochOf(mObjects);
  if (epoch > mCursor.mEpoch) {
    mNewestChange = 0;
    mCursor.mEpoch = epoch;
  }
  Publish();
  return MergeOutcome::kApplied;
}

void
ConfigStore::Publish()
{
  auto snapshot = std::make_shared<ConfigSnapshot>();
  for (auto held = mObjects.begin(); held != mObjects.end();) {
    const auto next = std::next(held);
    const RawObject& raw = held->second.mRaw;
    mNewestChange = std::max(mNewestChange, raw.mRevision);
    if (!held->second.mGood.mValue.empty()) {
      AddObject(*snapshot, held->second.mGood);
    }
    if (!held->second.mReason.empty()) {
      snapshot->mQuarantined.push_back(
        { held->first, raw.mRevision, held->second.mReason });
    } else if (raw.mValue.empty()) {
      mObjects.erase(held);
    }
    held = next;
  }
  snapshot->mVersion = { mCursor.mEpoch, mNewestChange };
  mCurrent = std::move(snapshot);
}

std::string
ConfigStore::Serialize() const
{
  boost::json::array raw;
  boost::json::array good;
  for (const auto& [key, held] : mObjects) {
    raw.push_back(ToJson(held.mRaw));
    if (!held.mReason.empty() && !held.mGood.mValue.empty()) {
      good.push_back(ToJson(held.mGood));
    }
  }
  return boost::json::serialize(
    boost::json::object{ { "revision", mCursor.mRevision },
                         { "newest", mNewestChange },
                         { "objects", std::move(raw) },
                         { "lastGood", std::move(good) } });
}

Result<MergeOutcome>
ConfigStore::ApplyPeer(std::string_view aText, std::string_view aPeer)
{
  auto refuse = [&](Error aError) {
    aError.mStep = "config.peer";
    aError.mPeer = aPeer;
    return tl::unexpected<Error>(std::move(aError));
  };
  const auto value = ParseJson(aText, "snapshot");
  if (!value) {
    return refuse(value.error());
  }
  JsonReader reader(*value, "snapshot");
  const auto revision =
    static_cast<std::uint64_t>(reader.Integer("revision", 0, INT64_MAX));
  const auto newest =
    static_cast<std::uint64_t>(reader.Integer("newest", 0, INT64_MAX, 0));
  const auto readAll = [&](std::string_view aKey) {
    std::vector<RawObject> objects;
    const auto* list = reader.Find(aKey);
    if (list == nullptr || !list->is_array()) {
      reader.Note(aKey, "absent", "a list of objects");
      return objects;
    }
    for (const auto& item : list->as_array()) {
      JsonReader object(item, aKey);
      objects.push_back(ReadRaw(object));
      reader.Merge(object.Finish());
    }
    return objects;
  };
  const auto objects = readAll("objects");
  const auto lastGood = readAll("lastGood");
  if (const auto done = reader.Finish(); !done) {
    return refuse(done.error());
  }
  const MergeOutcome outcome = ApplyList(revision, objects);
  if (outcome == MergeOutcome::kApplied && !lastGood.empty()) {
    for (const auto& object : lastGood) {
      const auto held = mObjects.find(object.mKey);
      if (held != mObjects.end() && held->second.mGood.mValue.empty() &&
          CheckRaw(object)) {
        held->second.mGood = object;
      }
    }
    Publish();
  }
  return AdoptNewest(newest, objects) ? MergeOutcome::kApplied : outcome;
}

bool
ConfigStore::AdoptNewest(std::uint64_t aNewest,
                         const std::vector<RawObject>& aObjects)
{
  if (aNewest <= mNewestChange || aNewest > mCursor.mRevision) {
    return false;
  }
  Objects objects;
  for (const auto& object : aObjects) {
    Take(objects, object);
  }
  if (!SameContent(objects, mObjects)) {
    return false;
  }
  mNewestChange = aNewest;
  Publish();
  return true;
}

} // namespace shuntjunction::state
