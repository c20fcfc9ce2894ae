#include <gtest/gtest.h>

#include "shuntjunction/state/streams/listed_versions.h"
#include "shuntjunction/state/streams/stream_holders.h"
#include "shuntjunction/state/streams/stream_records.h"
#include "shuntjunction/state/streams/stream_registry.h"
#include "shuntjunction/state/streams/version_history.h"

// Tests which software version a stream is known to have begun at.

namespace shuntjunction::state {
namespace {

const TimePoint kStart = TimePoint() + Millis(1000000);

EndpointInfo
Endpoint(const std::string& aHost,
         const std::string& aZone,
         const std::string& aVersion)
{
  EndpointInfo info;
  info.mId = "i-" + aHost;
  info.mService = "s";
  info.mAddress = aHost + ":80";
  info.mZone = aZone;
  info.mModels = { { "m", 1 } };
  info.mSoftwareVersion = aVersion;
  return info;
}

class GivenAListOfEndpoints : public ::testing::Test
{
protected:
  std::optional<std::string> OnlyVersion(Millis aAfter)
  {
    return mVersions.OnlyVersion("s", Millis(10000), kStart + aAfter);
  }

  ListedVersions mVersions;
};

TEST_F(GivenAListOfEndpoints, NoVersionIsTheOnlyOneOfAnEmptyList)
{
  EXPECT_FALSE(OnlyVersion(Millis(0)));
}

TEST_F(GivenAListOfEndpoints, OneVersionIsTheOnlyOneFromTheStart)
{
  mVersions.Update({ Endpoint("10.0.0.1", "a", "v1") }, kStart);
  EXPECT_EQ(OnlyVersion(Millis(0)), "v1");
}

class WithASecondVersion : public GivenAListOfEndpoints
{
protected:
  WithASecondVersion()
  {
    mVersions.Update({ Endpoint("10.0.0.1", "a", "v1") }, kStart);
    mVersions.Update(
      { Endpoint("10.0.0.1", "a", "v1"), Endpoint("10.0.0.2", "a", "v2") },
      kStart + Millis(1000));
  }
};

TEST_F(WithASecondVersion, NoneIsTheOnlyOne)
{
  EXPECT_FALSE(OnlyVersion(Millis(60000)));
}

// Streams of a version outlive its entries.
TEST_F(WithASecondVersion, TheRemainingOneIsTheOnlyOneAfterATime)
{
  mVersions.Update({ Endpoint("10.0.0.2", "a", "v2") }, kStart + Millis(50000));
  EXPECT_FALSE(OnlyVersion(Millis(59000)));
  EXPECT_EQ(OnlyVersion(Millis(61000)), "v2");
}

class GivenACompanionThatStarted : public ::testing::Test
{
protected:
  /// What a relay takes for the origin of a stream if only this companion
  /// replies, at a time after the companion's start.
  StreamLookup Judge(Millis aAfter)
  {
    OriginEvidence evidence;
    evidence.mOnlyVersion = "v2";
    evidence.mReplies = { mRegistry.Find(
      1, "s", Millis(10000), kStart + aAfter) };
    return JudgeOrigin(evidence);
  }

  StreamRegistry mRegistry{ StreamRecordSettings{} };
};

TEST_F(GivenACompanionThatStarted, ItKnowsTheVersionsOnceNoEarlierStreamIsLeft)
{
  mRegistry.Update({ Endpoint("10.0.0.1", "a", "v2") }, kStart);
  EXPECT_EQ(Judge(Millis(9999)).mKnowledge, StreamKnowledge::kUnknown);
  EXPECT_EQ(Judge(Millis(10000)).mVersion, "v2");
}

class AfterARestartOfAllProcesses : public ::testing::Test
{
protected:
  AfterARestartOfAllProcesses()
  {
    mEvidence.mOnlyVersion = "v2";
    mEvidence.mReplies = { { {}, "v2", false } };
  }

  StreamKnowledge Judge(const VersionHistory& aHistory)
  {
    mEvidence.mStoredVersion = OnlyVersionOf(aHistory);
    return JudgeOrigin(mEvidence).mKnowledge;
  }

  OriginEvidence mEvidence;
};

// Guards against a version that left before any of them started.
TEST_F(AfterARestartOfAllProcesses, TheStoredHistoryTellsWhetherThereWasAnother)
{
  EXPECT_EQ(Judge({ { "v2", 5 } }), StreamKnowledge::kKnown);
  EXPECT_EQ(Judge({ { "v1", 5 }, { "v2", 9 } }), StreamKnowledge::kUnknown);
  EXPECT_EQ(Judge({ { "v1", 5 } }), StreamKnowledge::kUnknown);
  EXPECT_EQ(Judge({}), StreamKnowledge::kUnknown);
}

class GivenRecords : public ::testing::Test
{
protected:
  StreamRecordTable mTable{ { 100, Millis(5000) } };
};

TEST_F(GivenRecords, AStreamIsKnownForItsLifetime)
{
  mTable.Note({ 7, "v1", Millis(2000) }, kStart);
  EXPECT_EQ(mTable.Find(7, kStart + Millis(1999)).mVersion, "v1");
  EXPECT_EQ(mTable.Find(7, kStart + Millis(2000)).mKnowledge,
            StreamKnowledge::kUnknown);
}

TEST_F(GivenRecords, ItsLifetimeIsBounded)
{
  mTable.Note({ 7, "v1", Millis(60000) }, kStart);
  EXPECT_EQ(mTable.Find(7, kStart + Millis(5000)).mKnowledge,
            StreamKnowledge::kUnknown);
}

// Guards against a version that is guessed.
TEST_F(GivenRecords, AStreamOfTwoVersionsIsAmbiguous)
{
  mTable.Note({ 7, "v1", Millis(2000) }, kStart);
  mTable.Note({ 7, "v2", Millis(2000) }, kStart);
  mTable.Note({ 7, "v1", Millis(2000) }, kStart);
  EXPECT_EQ(mTable.Find(7, kStart).mKnowledge, StreamKnowledge::kAmbiguous);
}

TEST_F(GivenRecords, BeyondTheLimitThoseThatEndFirstAreDropped)
{
  for (StreamHash stream = 1; stream <= 150; ++stream) {
    mTable.Note({ stream, "v1", Millis(1000) },
                kStart + Millis(static_cast<std::int64_t>(stream)));
  }
  EXPECT_EQ(mTable.Size(), 100U);
  EXPECT_EQ(mTable.Find(50, kStart + Millis(200)).mKnowledge,
            StreamKnowledge::kUnknown);
  EXPECT_EQ(mTable.Find(51, kStart + Millis(200)).mVersion, "v1");
}

class GivenHolders : public ::testing::Test
{
protected:
  GivenHolders()
  {
    for (int i = 0; i < 12; ++i) {
      mEndpoints.push_back(Endpoint(
        "10.0.0." + std::to_string(i), std::string(1, "abc"[i % 3]), "v1"));
    }
    mHolders.Update(mEndpoints);
  }

  const std::string& ZoneOf(const std::string& aHost) const
  {
    return std::find_if(mEndpoints.begin(),
                        mEndpoints.end(),
                        [&](const auto& aEndpoint) {
                          return aEndpoint.mAddress == aHost + ":80";
                        })
      ->mZone;
  }

  std::vector<EndpointInfo> mEndpoints;
  StreamHolders mHolders{ {} };
};

TEST_F(GivenHolders, ARecordIsWrittenInTheOwnZoneAndAnother)
{
  for (StreamHash stream = 1; stream < 100; ++stream) {
    const auto hosts = mHolders.ForWriting(stream, "b");
    ASSERT_EQ(hosts.size(), 2U);
    EXPECT_EQ(ZoneOf(hosts[0]), "b");
    EXPECT_NE(ZoneOf(hosts[1]), "b");
  }
}

TEST_F(GivenHolders, ItIsFoundByThoseWhoKnowNotWhoWroteIt)
{
  for (StreamHash stream = 1; stream < 100; ++stream) {
    const auto asked = mHolders.ForReading(stream);
    for (const auto& host : mHolders.ForWriting(stream, "c")) {
      EXPECT_NE(std::find(asked.begin(), asked.end(), host), asked.end());
    }
  }
}

TEST_F(GivenHolders, ACompanionWhoseEndpointDrainsGetsNoRecords)
{
  mEndpoints[0].mIsLeaving = true;
  mHolders.Update(mEndpoints);
  for (StreamHash stream = 1; stream < 100; ++stream) {
    const auto hosts = mHolders.ForWriting(stream, "a");
    EXPECT_EQ(std::find(hosts.begin(), hosts.end(), "10.0.0.0"), hosts.end());
  }
}

TEST_F(GivenHolders, WithoutCompanionsThereAreNone)
{
  mHolders.Update({});
  EXPECT_TRUE(mHolders.ForWriting(1, "a").empty());
  EXPECT_TRUE(mHolders.ForReading(1).empty());
}

} // namespace
} // namespace shuntjunction::state
