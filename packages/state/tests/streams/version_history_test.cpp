#include <gtest/gtest.h>

#include "shuntjunction/state/streams/version_history.h"

// Tests the record of the software versions at which streams may have begun.

namespace shuntjunction::state {
namespace {

EndpointInfo
Endpoint(const std::string& aVersion, std::uint64_t aRevision)
{
  EndpointInfo info;
  info.mService = "s";
  info.mSoftwareVersion = aVersion;
  info.mRevision = aRevision;
  return info;
}

RouteRule
Route(RouteKind aKind, bool aIsResumable, Millis aTimeout)
{
  RouteRule route;
  route.mKind = aKind;
  route.mIsResumable = aIsResumable;
  route.mTimeout = aTimeout;
  route.mTargets = { { "s", 1.0 } };
  return route;
}

TEST(GivenRoutes, TheLongestResumableStreamOfAServiceCounts)
{
  RelayRules rules;
  rules.mRoutes = { Route(RouteKind::kStream, true, Millis(5000)),
                    Route(RouteKind::kStream, true, Millis(15000)),
                    Route(RouteKind::kStream, false, Millis(60000)),
                    Route(RouteKind::kRepeatable, false, Millis(60000)) };
  const auto lifetimes = StreamLifetimes(rules);
  ASSERT_EQ(lifetimes.size(), 1U);
  EXPECT_EQ(lifetimes.at("s"), Millis(15000) + kStreamResumeTime);
}

TEST(GivenListedEndpoints, AVersionIsListedSinceItsOldestEntry)
{
  const std::vector<EndpointInfo> endpoints{ Endpoint("v1", 30),
                                             Endpoint("v1", 12),
                                             Endpoint("v2", 44) };
  const VersionHistory expected{ { "v1", 12 }, { "v2", 44 } };
  EXPECT_EQ(ListedSince(endpoints, "s"), expected);
  EXPECT_TRUE(ListedSince(endpoints, "other").empty());
}

class GivenNoStoredVersions : public ::testing::Test
{
protected:
  GivenNoStoredVersions()
  {
    mSightings.mListed = { { "v2", 40 } };
    mSightings.mRecent = { "v1", "v2" };
    mSightings.mRevision = 50;
  }

  VersionSightings mSightings;
};

// Guards against a history without the versions that left before it was made.
TEST_F(GivenNoStoredVersions, AProcessThatStartedLatelyWritesNone)
{
  EXPECT_FALSE(UpdateHistory(std::nullopt, mSightings));
}

TEST_F(GivenNoStoredVersions, OneThatHasFollowedTheListWritesAllRecentVersions)
{
  mSightings.mIsWhole = true;
  const VersionHistory expected{ { "v1", 50 }, { "v2", 50 } };
  EXPECT_EQ(UpdateHistory(std::nullopt, mSightings), expected);
}

class GivenStoredVersions : public GivenNoStoredVersions
{
protected:
  std::optional<VersionHistory> Update() const
  {
    return UpdateHistory(mStored, mSightings);
  }

  VersionHistory mStored{ { "v1", 10 }, { "v2", 45 } };
};

TEST_F(GivenStoredVersions, NothingIsWrittenWhereItShowsAllListedVersions)
{
  EXPECT_FALSE(Update());
}

TEST_F(GivenStoredVersions, AVersionThatIsListedIsAdded)
{
  mSightings.mListed["v3"] = 49;
  const VersionHistory expected{ { "v1", 10 }, { "v2", 45 }, { "v3", 50 } };
  EXPECT_EQ(Update(), expected);
}

TEST_F(GivenStoredVersions, AVersionStaysWhileItsStreamsCanBeResumed)
{
  mSightings.mIsWhole = true;
  EXPECT_FALSE(Update());
}

TEST_F(GivenStoredVersions, AVersionLeavesThatWasNotListedForALifetime)
{
  mSightings.mIsWhole = true;
  mSightings.mRecent = { "v2" };
  const VersionHistory expected{ { "v2", 45 } };
  EXPECT_EQ(Update(), expected);
}

TEST_F(GivenStoredVersions, AProcessThatStartedLatelyRemovesNone)
{
  mSightings.mRecent = { "v2" };
  EXPECT_FALSE(Update());
}

class WhoseVersionReturns : public GivenStoredVersions
{
protected:
  /// The first version is listed again.
  WhoseVersionReturns()
  {
    mSightings.mListed["v1"] = 49;
    mRecorded = Update();
  }

  std::optional<VersionHistory> mRecorded;
};

// Guards against the removal of a version that another process lists again.
TEST_F(WhoseVersionReturns, AProcessWithAnOlderListDoesNotRemoveIt)
{
  ASSERT_TRUE(mRecorded);
  EXPECT_EQ(mRecorded->at("v1"), 50U);
  VersionSightings older;
  older.mListed = { { "v2", 40 } };
  older.mRecent = { "v2" };
  older.mRevision = 48;
  older.mIsWhole = true;
  EXPECT_FALSE(UpdateHistory(mRecorded, older));
}

TEST_F(WhoseVersionReturns, AnotherProcessThatListsItHasNothingToWrite)
{
  mSightings.mRevision = 55;
  EXPECT_FALSE(UpdateHistory(mRecorded, mSightings));
}

} // namespace
} // namespace shuntjunction::state
