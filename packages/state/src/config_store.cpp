#include "shuntjunction/state/config_store.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

/// Adds the valid form of one object to a snapshot.
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
ConfigStore::ApplyObject(Objects& aObjects, const RawObject& aObject)
{
  StoredObject& stored = aObjects[aObject.mKey];
  if (aObject.mRevision < stored.mReceived.mRevision) {
    return;
  }
  stored.mReceived = aObject;
  stored.mReason.clear();
  if (aObject.mValue.empty()) {
    stored.mLastValid = aObject;
    return;
  }
  const auto checked = CheckRaw(aObject);
  if (checked) {
    stored.mLastValid = aObject;
  } else {
    stored.mReason = checked.error().mText;
  }
}

std::uint64_t
ConfigStore::EpochOf(const Objects& aObjects)
{
  const auto stored = aObjects.find(std::string(kEpochKey));
  if (stored == aObjects.end() || stored->second.mLastValid.mValue.empty()) {
    return 0;
  }
  const auto value = ParseJson(stored->second.mLastValid.mValue, kEpochKey);
  return value ? ReadEpoch(*value).value_or(0) : 0;
}

bool
ConfigStore::HasSameContent(const Objects& aLeft, const Objects& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.second.mReceived == aOther.second.mReceived;
                    });
}

MergeOutcome
ConfigStore::ApplyList(std::uint64_t aRevision,
                       const std::vector<RawObject>& aObjects)
{
  Objects objects;
  for (const auto& object : aObjects) {
    ApplyObject(objects, object);
  }
  const ConfigVersion offered{ EpochOf(objects), aRevision };
  if (offered < mCursor) {
    return MergeOutcome::kOlder;
  }
  const bool isNewEpoch = offered.mEpoch != mCursor.mEpoch;
  const bool isSame = HasSameContent(objects, mObjects);
  if (offered == mCursor && !isSame && mCursor != ConfigVersion{}) {
    // One revision with two contents: the platform was restored and then
    // written to.
    return MergeOutcome::kOlder;
  }
  mCursor = offered;
  if (!isNewEpoch && isSame) {
    return MergeOutcome::kUnchanged;
  }
  // An object that became invalid keeps its last valid form.
  for (auto& [key, stored] : objects) {
    const auto before = mObjects.find(key);
    if (!stored.mReason.empty() && before != mObjects.end()) {
      stored.mLastValid = before->second.mLastValid;
    }
  }
  mObjects = std::move(objects);
  mNewestRevision = isNewEpoch ? 0 : mNewestRevision;
  Publish();
  ResetRecent();
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
    ApplyObject(mObjects, change);
  }
  // The epoch only rises, whatever an operator writes.
  const std::uint64_t epoch = EpochOf(mObjects);
  const bool isNewEpoch = epoch > mCursor.mEpoch;
  if (isNewEpoch) {
    mNewestRevision = 0;
    mCursor.mEpoch = epoch;
  }
  Publish();
  if (isNewEpoch) {
    ResetRecent();
  } else {
    RecordChanges(aChanges);
  }
  return MergeOutcome::kApplied;
}

void
ConfigStore::Publish()
{
  auto snapshot = std::make_shared<ConfigSnapshot>();
  for (auto stored = mObjects.begin(); stored != mObjects.end();) {
    const auto next = std::next(stored);
    const RawObject& received = stored->second.mReceived;
    mNewestRevision = std::max(mNewestRevision, received.mRevision);
    if (!stored->second.mLastValid.mValue.empty()) {
      AddObject(*snapshot, stored->second.mLastValid);
    }
    if (!stored->second.mReason.empty()) {
      snapshot->mQuarantined.push_back(
        { stored->first, received.mRevision, stored->second.mReason });
    } else if (received.mValue.empty()) {
      mObjects.erase(stored);
    }
    stored = next;
  }
  snapshot->mVersion = { mCursor.mEpoch, mNewestRevision };
  mCurrent = std::move(snapshot);
}

std::string
ConfigStore::Serialize() const
{
  boost::json::array received;
  boost::json::array lastValid;
  for (const auto& [key, stored] : mObjects) {
    received.push_back(WriteRawObject(stored.mReceived));
    if (!stored.mReason.empty() && !stored.mLastValid.mValue.empty()) {
      lastValid.push_back(WriteRawObject(stored.mLastValid));
    }
  }
  return boost::json::serialize(
    boost::json::object{ { "revision", mCursor.mRevision },
                         { "newest", mNewestRevision },
                         { "objects", std::move(received) },
                         { "lastGood", std::move(lastValid) } });
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
  const auto value = ParseUntrustedJson(aText, "snapshot");
  if (!value) {
    return refuse(value.error());
  }
  JsonReader reader(*value, "snapshot");
  const auto revision =
    static_cast<std::uint64_t>(reader.Integer("revision", 0, INT64_MAX));
  const auto newest =
    static_cast<std::uint64_t>(reader.Integer("newest", 0, INT64_MAX, 0));
  const auto objects = ReadRawObjects(reader, "objects");
  const auto lastValidObjects = ReadRawObjects(reader, "lastGood");
  if (const auto done = reader.Finish(); !done) {
    return refuse(done.error());
  }
  const MergeOutcome outcome = ApplyList(revision, objects);
  if (outcome == MergeOutcome::kApplied && !lastValidObjects.empty()) {
    for (const auto& object : lastValidObjects) {
      const auto stored = mObjects.find(object.mKey);
      if (stored != mObjects.end() &&
          stored->second.mLastValid.mValue.empty() && CheckRaw(object)) {
        stored->second.mLastValid = object;
      }
    }
    Publish();
  }
  return AdoptPeerVersion(newest, objects) ? MergeOutcome::kApplied : outcome;
}

bool
ConfigStore::AdoptPeerVersion(std::uint64_t aPeerRevision,
                              const std::vector<RawObject>& aObjects)
{
  if (aPeerRevision <= mNewestRevision || aPeerRevision > mCursor.mRevision) {
    return false;
  }
  Objects objects;
  for (const auto& object : aObjects) {
    ApplyObject(objects, object);
  }
  if (!HasSameContent(objects, mObjects)) {
    return false;
  }
  mNewestRevision = aPeerRevision;
  Publish();
  ResetRecent();
  return true;
}

// Updates that consist of changes only.

std::uint64_t
ConfigStore::Digest(const Objects& aObjects)
{
  std::uint64_t digest = 0;
  for (const auto& [key, stored] : aObjects) {
    if (!stored.mReceived.mValue.empty()) {
      digest += ContentDigest(stored.mReceived);
    }
  }
  return digest;
}

void
ConfigStore::ResetRecent()
{
  mRecent.Reset(mCursor.mEpoch, mNewestRevision);
  mRecent.SetEndState(mCursor.mRevision, Digest(mObjects));
}

void
ConfigStore::RecordChanges(const std::vector<RawObject>& aChanges)
{
  mRecent.Add(aChanges);
  mRecent.SetEndState(mCursor.mRevision, Digest(mObjects));
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
  if (changes->mEpoch != mCursor.mEpoch ||
      mNewestRevision < changes->mBaseRevision) {
    return refuse("the changes do not continue from this version");
  }
  if (changes->mNewest <= mNewestRevision) {
    return MergeOutcome::kUnchanged;
  }
  if (changes->mCursor < mCursor.mRevision) {
    // This configuration is complete up to a later revision than the peer's. If
    // its objects are the peer's, the peer's version applies to it too.
    if (Digest(mObjects) != changes->mDigest) {
      return MergeOutcome::kOlder;
    }
    mNewestRevision = changes->mNewest;
    Publish();
    ResetRecent();
    return MergeOutcome::kApplied;
  }
  Objects objects = mObjects;
  for (const auto& change : changes->mChanges) {
    ApplyObject(objects, change);
  }
  if (Digest(objects) != changes->mDigest) {
    return refuse("the changes do not lead to the peer's objects");
  }
  mObjects = std::move(objects);
  mCursor.mRevision = changes->mCursor;
  Publish();
  RecordChanges(changes->mChanges);
  return MergeOutcome::kApplied;
}

} // namespace shuntjunction::state
