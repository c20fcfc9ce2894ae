// A team's limit that is split into shares owned by companions.

#include <gtest/gtest.h>

#include "shuntjunction/state/limit_shares.h"

namespace shuntjunction::state {

namespace {

constexpr UsageLimit kLimit{ 4000, 8000 };
const std::string kOwn = "10.0.0.1";
const std::string kOther = "10.0.0.2";

/// A share that belongs to the other of two companions, and to this one if it
/// is the only companion.
ShareKey
KeyOfOther()
{
  ShareKey key{ 1, 0 };
  const std::vector<std::string> both{ kOwn, kOther };
  while (both[OwnerOfShare(both, key)] == kOwn) {
    ++key.mLimit;
  }
  return key;
}

} // namespace

class GivenACompanion : public ::testing::Test
{
protected:
  GivenACompanion() { mSettings.mOwnership.mHandover = Millis(5000); }

  void List(std::vector<std::string> aHosts)
  {
    mShares.SetHosts(std::move(aHosts), mClock.Now());
  }

  std::uint32_t Take(std::uint32_t aAmount, UsageLimit aLimit = kLimit)
  {
    return mShares.Take({ mKey, aLimit, mVersion, aAmount }, mClock.Now())
      .mAmount;
  }

  ManualClock mClock;
  LimitSharesSettings mSettings;
  LimitShares mShares{ mSettings, kOwn };
  ShareKey mKey = KeyOfOther();
  std::uint64_t mVersion = 1;
};

TEST_F(GivenACompanion, BeforeItKnowsTheListItGrantsNothing)
{
  EXPECT_EQ(Take(1), 0U);
}

class ThatOwnsAShareSinceItsStart : public GivenACompanion
{
protected:
  ThatOwnsAShareSinceItsStart() { List({ kOwn }); }
};

TEST_F(ThatOwnsAShareSinceItsStart, ItStartsEmptyAndFillsAtItsRate)
{
  EXPECT_EQ(Take(100), 0U);
  mClock.Advance(Millis(100));
  EXPECT_EQ(Take(1000), 100U);
}

TEST_F(ThatOwnsAShareSinceItsStart, ItGrantsABurstAtMost)
{
  mClock.Advance(Millis(60000));
  EXPECT_EQ(Take(9000), 2000U);
  EXPECT_EQ(Take(1), 0U);
}

TEST_F(ThatOwnsAShareSinceItsStart, WhatIsReturnedCanBeGrantedAgain)
{
  mClock.Advance(Millis(60000));
  Take(2000);
  mShares.GiveBack(mKey, 500);
  EXPECT_EQ(Take(2000), 500U);
}

TEST_F(ThatOwnsAShareSinceItsStart, RaisingTheLimitGrantsNoSecondBurst)
{
  mClock.Advance(Millis(60000));
  Take(2000);
  mVersion = 2;
  EXPECT_EQ(Take(8000, { 4000, 80000 }), 0U);
}

TEST_F(ThatOwnsAShareSinceItsStart, ALowerLimitHoldsAtOnce)
{
  mClock.Advance(Millis(60000));
  mVersion = 2;
  EXPECT_EQ(Take(8000, { 400, 800 }), 200U);
}

TEST_F(ThatOwnsAShareSinceItsStart,
       ARelayWithAnOlderVersionDoesNotRestoreItsLimit)
{
  mClock.Advance(Millis(60000));
  mVersion = 2;
  Take(0, { 400, 800 });
  mVersion = 1;
  EXPECT_EQ(Take(8000), 200U);
}

TEST_F(ThatOwnsAShareSinceItsStart, AnInvalidRequestGetsNothing)
{
  mClock.Advance(Millis(60000));
  EXPECT_EQ(Take(4'000'000'000U), 0U);
  EXPECT_EQ(Take(1, { 0, 8000 }), 0U);
  mKey.mShare = kSharesPerLimit;
  EXPECT_EQ(Take(1), 0U);
}

class ThatHasJustStarted : public GivenACompanion
{
protected:
  ThatHasJustStarted() { List({ kOwn, kOther }); }
};

TEST_F(ThatHasJustStarted, ListChangesNeedNoHandover)
{
  mClock.Advance(mSettings.mOwnership.mStartupWindow - Millis(1));
  List({ kOwn });
  mClock.Advance(Millis(101));
  EXPECT_GT(Take(100), 0U);
}

TEST_F(ThatHasJustStarted, AnEmptyListIsIgnored)
{
  List({});
  EXPECT_FALSE(mShares.SetHosts({ kOwn, kOther }, mClock.Now()));
}

TEST_F(ThatHasJustStarted, AfterTheStartupWindowAShareIsHandedOver)
{
  mClock.Advance(mSettings.mOwnership.mStartupWindow);
  List({ kOwn });
  mClock.Advance(Millis(100));
  EXPECT_EQ(Take(100), 0U);
}

class ThatTakesOverAShare : public GivenACompanion
{
protected:
  ThatTakesOverAShare()
  {
    List({ kOwn, kOther });
    mClock.Advance(Millis(60000));
    EXPECT_EQ(Take(100), 0U);
    List({ kOwn });
  }
};

TEST_F(ThatTakesOverAShare, ItGrantsNothingWhileRelaysMayAskTheOther)
{
  mClock.Advance(mSettings.mOwnership.mHandover - Millis(1));
  EXPECT_EQ(Take(100), 0U);
}

TEST_F(ThatTakesOverAShare, ThenItStartsEmpty)
{
  mClock.Advance(mSettings.mOwnership.mHandover + Millis(100));
  EXPECT_EQ(Take(1000), 100U);
}

TEST_F(ThatTakesOverAShare, AndLosesItWhenTheOtherIsBack)
{
  mClock.Advance(Millis(60000));
  EXPECT_GT(Take(1000), 0U);
  List({ kOwn, kOther });
  EXPECT_EQ(Take(1000), 0U);
}

class GivenARelaysDirectory : public ::testing::Test
{
protected:
  ManualClock mClock;
  ShareDirectory mDirectory{ 7 };
};

TEST_F(GivenARelaysDirectory, ItAsksTheCompanionsThatOwnTheShares)
{
  std::map<std::string, std::string> hosts;
  std::vector<std::string> names;
  for (int i = 0; i < 20; ++i) {
    names.push_back("10.0.0." + std::to_string(10 + i));
    hosts[names.back()] = i < 10 ? "a" : "b";
  }
  mDirectory.SetHosts(hosts);
  const auto sources = mDirectory.SourcesOf(5, "a");
  ASSERT_EQ(sources.size(), kSharesPerLimit);
  bool isOtherZone = false;
  for (const auto& source : sources) {
    EXPECT_EQ(source.mHost, names[OwnerOfShare(names, source.mKey)]);
    SCOPED_TRACE("companions in the relay's own zone come first");
    EXPECT_FALSE(isOtherZone && hosts[source.mHost] == "a");
    isOtherZone = hosts[source.mHost] == "b";
  }
}

TEST_F(GivenARelaysDirectory, WithoutCompanionsThereIsNobodyToAsk)
{
  EXPECT_TRUE(mDirectory.SourcesOf(5, "a").empty());
}

TEST_F(GivenARelaysDirectory, AnExcludedShareIsSkippedForItsTime)
{
  const ShareKey key{ 5, 1 };
  mDirectory.Exclude(key, ShareState::kSilent, mClock.Now() + Millis(50));
  EXPECT_EQ(mDirectory.StateOf(key, mClock.Now()), ShareState::kSilent);
  mClock.Advance(Millis(50));
  EXPECT_EQ(mDirectory.StateOf(key, mClock.Now()), ShareState::kOpen);
}

} // namespace shuntjunction::state
