// Tests of processes that send each other what the platform holds: all of it
// once, then only changes, each with its age.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/freshness.h"
#include "shuntjunction/state/object_mirror.h"
#include "shuntjunction/state/zone_watchers.h"

namespace shuntjunction::state {
namespace {

using namespace std::chrono_literals;
using Keys = std::vector<std::string>;

Keys
KeysOf(const std::vector<RawObject>& aObjects)
{
  Keys keys;
  for (const auto& object : aObjects) {
    keys.push_back(object.mKey + (object.mValue.empty() ? " gone" : ""));
  }
  return keys;
}

} // namespace

class GivenAMirror : public ::testing::Test
{
protected:
  GivenAMirror()
  {
    mMirror.MergeList(
      "e/", 10, { { "e/a", 3, "1" }, { "e/b", 9, "2" } }, Now());
    SetKnownRevision(10);
  }

  TimePoint Now() const { return mClock.Now(); }

  void SetKnownRevision(std::uint64_t aRevision)
  {
    mMirror.UpdateTopic("e/", aRevision, Now());
  }

  void Change(const RawObject& aObject)
  {
    mMirror.MergeChange(aObject, Now());
    SetKnownRevision(aObject.mRevision);
  }

  /// What another mirror lacks, as it arrives there.
  MirrorUpdate RequestUpdate(std::uint64_t aEpoch,
                             std::uint64_t aSequence) const
  {
    const auto text =
      WriteMirrorUpdate(mMirror.UpdateSince(aEpoch, aSequence, Now()));
    const auto update = ReadMirrorUpdate(text, "peer");
    EXPECT_TRUE(update.has_value());
    return update.value_or(MirrorUpdate{});
  }

  ManualClock mClock;
  ObjectMirror mMirror{ 7 };
};

TEST_F(GivenAMirror, AWatchGetsTheChangesAfterItsRevision)
{
  Change({ "e/c", 12, "3" });
  Change({ "e/a", 13, "" });
  EXPECT_EQ(KeysOf(mMirror.List("e/", Now())), (Keys{ "e/b", "e/c" }));
  EXPECT_EQ(KeysOf(*mMirror.ChangesAfter("e/", 10, Now())),
            (Keys{ "e/c", "e/a gone" }));
  EXPECT_EQ(KeysOf(*mMirror.ChangesAfter("e/", 12, Now())),
            (Keys{ "e/a gone" }));
  {
    SCOPED_TRACE("changes before the first list are not known");
    EXPECT_FALSE(mMirror.ChangesAfter("e/", 9, Now()).has_value());
    EXPECT_FALSE(mMirror.ChangesAfter("f/", 99, Now()).has_value());
  }
}

TEST_F(GivenAMirror, AnOlderChangeChangesNothing)
{
  Change({ "e/b", 8, "old" });
  EXPECT_EQ(mMirror.List("e/", Now())[1].mValue, "2");
}

TEST_F(GivenAMirror, AListRevealsDeletions)
{
  mMirror.MergeList("e/", 20, { { "e/b", 9, "2" } }, Now());
  EXPECT_EQ(KeysOf(*mMirror.ChangesAfter("e/", 10, Now())),
            (Keys{ "e/a gone" }));
}

TEST_F(GivenAMirror, OnlyTheLatestChangesAreKept)
{
  for (std::uint64_t i = 0; i <= kMinMirroredChanges; ++i) {
    Change({ "e/b", 11 + i, "3" });
  }
  EXPECT_FALSE(mMirror.ChangesAfter("e/", 10, Now()).has_value());
  EXPECT_EQ(mMirror.ChangesAfter("e/", 11, Now())->size(), kMinMirroredChanges);
}

// When all endpoints of a fleet of 1,500 changed, the processes that had not
// yet received the first changes needed the whole list again.
TEST_F(GivenAMirror, EveryObjectMayChangeOnce)
{
  constexpr std::uint64_t kObjects = 1500;
  for (std::uint64_t i = 0; i < kObjects; ++i) {
    Change({ "e/" + std::to_string(i), 11 + i, "1" });
  }
  const auto before = 11 + kObjects;
  for (std::uint64_t i = 0; i < kObjects; ++i) {
    Change({ "e/" + std::to_string(i), before + i, "2" });
  }
  const auto changes = mMirror.ChangesAfter("e/", before, Now());
  ASSERT_TRUE(changes.has_value());
  EXPECT_EQ(changes->size(), kObjects - 1);
}

TEST_F(GivenAMirror, ChangesSerializedEarlierKeepTheirAges)
{
  const auto update = mMirror.UpdateSince(0, 0, Now());
  const auto text = WriteMirrorChanges(update.mChanges);
  mClock.Advance(700ms);
  auto later = mMirror.Status(Now());
  later.mIsWhole = true;
  later.mChangesAge = 700ms;
  const auto read = ReadMirrorUpdate(WriteMirrorUpdate(later, text), "peer");
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(KeysOf(read->mChanges), (Keys{ "e/a", "e/b" }));
  EXPECT_EQ(read->mChanges[0].mAge, 700ms);
  EXPECT_EQ(read->mTopics[0].mAge, 700ms);
}

class ThatAnotherMirrorQueries : public GivenAMirror
{
protected:
  ThatAnotherMirrorQueries() { ApplyUpdate(RequestUpdate(0, 0)); }

  void ApplyUpdate(const MirrorUpdate& aUpdate)
  {
    mOther.Apply(aUpdate, Now(), Now());
    mSequence = aUpdate.mSequence;
  }

  ObjectMirror mOther{ 8 };
  std::uint64_t mSequence = 0;
};

TEST_F(ThatAnotherMirrorQueries, ItReceivesAllOnceAndThenChanges)
{
  EXPECT_EQ(KeysOf(mOther.List("e/", Now())), (Keys{ "e/a", "e/b" }));
  Change({ "e/a", 13, "" });
  const auto update = RequestUpdate(7, mSequence);
  EXPECT_FALSE(update.mIsWhole);
  EXPECT_EQ(KeysOf(update.mChanges), (Keys{ "e/a gone" }));
  ApplyUpdate(update);
  EXPECT_EQ(KeysOf(mOther.List("e/", Now())), Keys{ "e/b" });
  EXPECT_EQ(mOther.Topic("e/")->mKnownRevision, 13U);
  EXPECT_TRUE(RequestUpdate(7, mSequence).mChanges.empty());
}

// Guards against an update that is lost by the value of one object.
TEST_F(ThatAnotherMirrorQueries, ItReceivesAValueThatNoParserAccepts)
{
  const std::string nested =
    std::string(400000, '[') + "\xff" + std::string(400000, ']');
  Change({ "e/c", 13, nested });
  Change({ "e/d", 14, "1e" + std::string(40, '9') });
  Change({ "e/e", 15, "3" });
  ApplyUpdate(RequestUpdate(7, mSequence));
  EXPECT_EQ(KeysOf(mOther.List("e/", Now())),
            (Keys{ "e/a", "e/b", "e/c", "e/d", "e/e" }));
  EXPECT_EQ(mOther.List("e/c", Now()).front().mValue, nested);
}

TEST_F(ThatAnotherMirrorQueries, AfterAnotherEpochItReceivesAll)
{
  EXPECT_TRUE(RequestUpdate(6, mSequence).mIsWhole);
  EXPECT_TRUE(RequestUpdate(7, mSequence + 1).mIsWhole);
}

TEST_F(ThatAnotherMirrorQueries, EarlierWatchesHaveAGap)
{
  EXPECT_FALSE(mOther.ChangesAfter("e/", 9, Now()).has_value());
  EXPECT_TRUE(mOther.ChangesAfter("e/", 10, Now()).has_value());
}

TEST_F(ThatAnotherMirrorQueries, EachStatusKeepsItsAge)
{
  Change({ "e/c", 12, "3" });
  mMirror.NoteOutage(Now());
  mClock.Advance(700ms);
  ApplyUpdate(RequestUpdate(7, mSequence));
  mClock.Advance(50ms);
  EXPECT_EQ(mOther.ChangesAfter("e/", 10, Now())->at(0).mAge, 750ms);
  EXPECT_EQ(Now() - mOther.Topic("e/")->mAsOf, 750ms);
  EXPECT_EQ(Now() - *mOther.LastOutage(), 750ms);
}

TEST(GivenAnUpdate, InvalidInputIsRejected)
{
  EXPECT_FALSE(ReadMirrorUpdate("{}", "peer").has_value());
  EXPECT_FALSE(ReadMirrorUpdate("\xff", "peer").has_value());
  const auto error = ReadMirrorUpdate(
    R"({"epoch":1,"sequence":1,"whole":true,"topics":[{"prefix":1}],
        "changes":[]})",
    "peer");
  ASSERT_FALSE(error.has_value());
  EXPECT_EQ(error.error().mPeer, "peer");
}

class GivenAFleet : public ::testing::Test
{
protected:
  GivenAFleet()
  {
    for (int i = 0; i < 30; ++i) {
      EndpointInfo engine;
      engine.mId = "i-" + std::to_string(i);
      engine.mAddress = "10.0.0." + std::to_string(i) + ":80";
      engine.mZone = i % 2 == 0 ? "a" : "b";
      engine.mModels = { { "m", 1 } };
      mEngines.push_back(engine);
    }
  }

  std::vector<std::string> Watchers() const
  {
    return SelectZoneWatchers(mEngines, "a", mSettings);
  }

  EndpointInfo& EngineAt(const std::string& aAddress)
  {
    return *std::find_if(
      mEngines.begin(), mEngines.end(), [&](const auto& aOne) {
        return aOne.mAddress == aAddress;
      });
  }

  ZoneWatcherSettings mSettings;
  std::vector<EndpointInfo> mEngines;
};

TEST_F(GivenAFleet, AZoneHasWatchersOfItsOwn)
{
  const auto watchers = Watchers();
  ASSERT_EQ(watchers.size(), 2U);
  EXPECT_EQ(EngineAt(watchers[0]).mZone, "a");
  {
    SCOPED_TRACE("one that leaves is replaced by the next");
    EngineAt(watchers[0]).mIsLeaving = true;
    EXPECT_EQ(Watchers()[0], watchers[1]);
  }
}

TEST_F(GivenAFleet, ASmallFleetHasNone)
{
  mEngines.resize(mSettings.mAllBelow - 1);
  EXPECT_TRUE(Watchers().empty());
}

// A key is revoked in the store; a client that receives the configuration from
// a watcher must not accept the key for longer than the bound, whichever
// process is paused at any moment.
class GeneratedDelays : public ::testing::Test
{
protected:
  static constexpr int kBound = 5000;
};

RC_GTEST_FIXTURE_PROP(GeneratedDelays,
                      NoKeyIsAcceptedForLongerThanItsBound,
                      (std::vector<std::uint16_t> aDelays))
{
  const TimePoint begin{ 100s };
  const auto delay = [&](std::size_t aIndex, int aMax) {
    return Millis(aIndex < aDelays.size() ? aDelays[aIndex] % aMax : 0);
  };
  const auto removedAt = begin + delay(0, 4000);
  Freshness watcher;
  Freshness client;
  auto now = begin;
  bool watcherHasKey = true;
  for (std::size_t i = 1; i + 5 < aDelays.size(); i += 5) {
    // The watcher queries the store, whose response is delayed.
    const auto storeRequestedAt = now;
    const auto storeRespondsAt = now + delay(i, 800);
    watcherHasKey = watcherHasKey && storeRespondsAt < removedAt;
    now = storeRespondsAt + delay(i + 1, 2500);
    watcher.Confirm(storeRequestedAt);
    // The client sent its request before or after that; the response may be in
    // transit.
    const auto requestedAt = std::max(begin, now - delay(i + 2, 3000));
    const auto reportedAge = watcher.Age(now);
    const bool hasReportedKey = watcherHasKey;
    now += delay(i + 3, 3000);
    if (!hasReportedKey) {
      return;
    }
    client.ConfirmFromPeer(requestedAt, reportedAge);
    now += delay(i + 4, 3000);
    const bool isAccepted = client.Age(now) < Millis(kBound);
    RC_ASSERT(!isAccepted || now < removedAt + Millis(kBound));
  }
}

} // namespace shuntjunction::state
