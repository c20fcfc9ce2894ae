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
  RestartRecent();
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
  const bool isNewEpoch = epoch > mCursor.mEpoch;
  if (isNewEpoch) {
    mNewestChange = 0;
    mCursor.mEpoch = epoch;
  }
  Publish();
  if (isNewEpoch) {
    RestartRecent();
  } else {
    AddRecent(aChanges);
  }
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
    raw.push_back(WriteRawObject(held.mRaw));
    if (!held.mReason.empty() && !held.mGood.mValue.empty()) {
      good.push_back(WriteRawObject(held.mGood));
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
  if (IsConfigChanges(aText)) {
    return ApplyPeerChanges(aText, aPeer);
  }
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
  const auto objects = ReadRawObjects(reader, "objects");
  const auto lastGood = ReadRawObjects(reader, "lastGood");
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
  RestartRecent();
  return true;
}

// Changes alone.

std::uint64_t
ConfigStore::Digest(const Objects& aObjects)
{
  std::uint64_t digest = 0;
  for (const auto& [key, held] : aObjects) {
    if (!held.mRaw.mValue.empty()) {
      digest += ContentDigest(held.mRaw);
    }
  }
  return digest;
}

void
ConfigStore::RestartRecent()
{
  mRecent.Restart(mCursor.mEpoch, mNewestChange);
  mRecent.Complete(mCursor.mRevision, Digest(mObjects));
}

void
ConfigStore::AddRecent(const std::vector<RawObject>& aChanges)
{
  mRecent.Add(aChanges);
  mRecent.Complete(mCursor.mRevision, Digest(mObjects));
}

Result<MergeOutcome>
ConfigStore::ApplyPeerChanges(std::string_view aText, std::string_view aPeer)
{
  const auto changes = ReadConfigChanges(aText, aPeer);
  if (!changes) {
    return tl::unexpected<Error>(changes.error());
  }
  const auto refuse = [&](std::string_view aWhy) {
    return Fail(ErrorCode::kConflict, "config.changes", aPeer, aWhy);
  };
  if (changes->mEpoch != mCursor.mEpoch || mNewestChange < changes->mSince) {
    return refuse("they do not follow on");
  }
  if (changes->mNewest <= mNewestChange) {
    return MergeOutcome::kUnchanged;
  }
  if (changes->mCursor < mCursor.mRevision) {
    // Everything up to there is held already, and so is its version.
    if (Digest(mObjects) != changes->mDigest) {
      return MergeOutcome::kOlder;
    }
    mNewestChange = changes->mNewest;
    Publish();
    RestartRecent();
    return MergeOutcome::kApplied;
  }
  Objects objects = mObjects;
  for (const auto& change : changes->mChanges) {
    Take(objects, change);
  }
  if (Digest(objects) != changes->mDigest) {
    return refuse("they lead to other objects than the peer's");
  }
  mObjects = std::move(objects);
  mCursor.mRevision = changes->mCursor;
  Publish();
  AddRecent(changes->mChanges);
  return MergeOutcome::kApplied;
}

} // namespace shuntjunction::state
