#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

// What companions report to relays, and relays to each other.

namespace shuntjunction::coordination {

namespace {

namespace asio = transport::asio;
using protocol::EngineNews;
using protocol::PartReading;
using state::Millis;

/// A relay that follows the companion.
struct Listener
{
  Listener(asio::io_context& aContext,
           const std::string& aName,
           std::uint16_t aPort,
           EventLog& aLog)
    : mClient(
        aContext,
        { aName, "secret of this test", 0 },
        aPort,
        aLog,
        [this](const EngineNews& aNews) { mNews.push_back(aNews); },
        [this](const PartReading& aReading) { mReadings.push_back(aReading); },
        [this](const protocol::CrashReports& aReports) {
          mCrashes.insert(
            mCrashes.end(), aReports.mUpdates.begin(), aReports.mUpdates.end());
        },
        [this](const state::RateNews& aNews) { mRates.push_back(aNews); },
        [this](const std::string& aHost) { mEnded.push_back(aHost); })
  {
    state::EndpointInfo engine;
    engine.mId = "i-1";
    engine.mAddress = kEngine;
    engine.mModels = { { "m", 1 } };
    mClient.Follow({ engine });
  }

  static constexpr const char* kEngine = "127.0.0.1:1";

  std::vector<EngineNews> mNews;
  std::vector<PartReading> mReadings;
  std::vector<protocol::CrashUpdate> mCrashes;
  std::vector<state::RateNews> mRates;
  /// Hosts whose companion ended its connection.
  std::vector<std::string> mEnded;
  EngineNewsClient mClient;
};

} // namespace

class GivenACompanionAndTwoRelays : public ::testing::Test
{
protected:
  GivenACompanionAndTwoRelays()
    : mLog(EventLogSettings{}, mClock)
    , mServer(mContext, { "companion", "secret of this test", 0 }, mClock, mLog)
    , mPort(mServer.Start({ "127.0.0.1", 0 })->mPort)
    , mOne(mContext, "relay-1", mPort, mLog)
    , mTwo(mContext, "relay-2", mPort, mLog)
  {
    // The first update shows that the connection is established.
    Await([this] { return !mOne.mNews.empty() && !mTwo.mNews.empty(); });
  }

  /// Lets a relay request a part, and waits until the companion received it.
  void RequestPart(const std::string& aPart)
  {
    mServer.ChangeParts(PartHolder::kEngine, {}, { aPart }, {});
    mOne.mClient.SetWaiting(Listener::kEngine, {}, aPart);
    Await([&] {
      return mTwo.mNews.back().mAddedParts == std::vector<std::string>{ aPart };
    });
    mServer.ChangeParts(PartHolder::kEngine, {}, {}, { aPart });
  }

  /// Runs the context until a condition holds; the test fails if it never does.
  void Await(const std::function<bool()>& aCondition)
  {
    constexpr std::chrono::seconds kTimeout{ 30 };
    const auto until = state::BootClock::now() + kTimeout;
    while (!aCondition() && state::BootClock::now() < until) {
      mContext.restart();
      mContext.run_for(Millis(5));
    }
    EXPECT_TRUE(aCondition());
  }

  state::SystemClock mClock;
  asio::io_context mContext{ 1 };
  EventLog mLog;
  EngineNewsServer mServer;
  std::uint16_t mPort;
  Listener mOne;
  Listener mTwo;
};

TEST_F(GivenACompanionAndTwoRelays, NeitherReceivesPartsThatNobodyRequested)
{
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/own" }, {});
  RequestPart("s/a");
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, { "s/own" });
  const auto receives = [&](const std::string& aPart) {
    return std::any_of(
      mTwo.mNews.begin(), mTwo.mNews.end(), [&](const auto& aNews) {
        const auto& gained = aNews.mAddedParts;
        return std::find(gained.begin(), gained.end(), aPart) != gained.end();
      });
  };
  Await([&] { return receives("s/a"); });
  EXPECT_FALSE(receives("s/own"));
}

TEST_F(GivenACompanionAndTwoRelays, BothReceiveThePartsThatTheEngineCaches)
{
  RequestPart("s/a");
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, {});
  const auto hasGained = [](const Listener& aListener) {
    return aListener.mNews.back().mAddedParts ==
           std::vector<std::string>{ "s/a" };
  };
  Await([&] { return hasGained(mOne) && hasGained(mTwo); });
}

TEST_F(GivenACompanionAndTwoRelays, APartReadingReachesTheOtherAndNotItsSender)
{
  mOne.mClient.SendPartReading(Listener::kEngine, { "s/a", false });
  mOne.mClient.SendPartReading(Listener::kEngine, { "s/a", true });
  Await([&] { return mTwo.mReadings.size() == 2; });
  EXPECT_EQ(mTwo.mReadings[0].mPart, "s/a");
  EXPECT_FALSE(mTwo.mReadings[0].mIsDone);
  EXPECT_TRUE(mTwo.mReadings[1].mIsDone);
  EXPECT_TRUE(mOne.mReadings.empty());
  {
    SCOPED_TRACE("the channel is still open: updates still arrive");
    RequestPart("s/b");
    mServer.ChangeParts(PartHolder::kEngine, {}, { "s/b" }, {});
    Await([&] {
      return mOne.mNews.back().mAddedParts == std::vector<std::string>{ "s/b" };
    });
  }
}

class OfWhichOneSawACrash : public GivenACompanionAndTwoRelays
{
protected:
  OfWhichOneSawACrash() { ReportCrash(false); }

  void ReportCrash(bool aIsCleared)
  {
    protocol::CrashReports reports;
    reports.mUpdates.push_back(
      { { { mRequest, kCrashed }, Millis(0) }, aIsCleared });
    mOne.mClient.SendCrashReports(kCrashed, reports);
  }

  static constexpr std::uint64_t kCrashed = 7;
  const state::RequestDigest mRequest{ { "POST", "h", "/p", "", "body" } };
};

TEST_F(OfWhichOneSawACrash, TheOtherReceivesItOnce)
{
  ReportCrash(false);
  ReportCrash(true);
  Await([this] { return mTwo.mCrashes.size() == 2; });
  EXPECT_EQ(mTwo.mCrashes[0].mReport.mReport.mRequest, mRequest);
  EXPECT_FALSE(mTwo.mCrashes[0].mIsCleared);
  EXPECT_TRUE(mTwo.mCrashes[1].mIsCleared);
}

// A relay that connects later, as after a restart, depends on what other
// processes remember.
TEST_F(OfWhichOneSawACrash, OneThatConnectsLaterReceivesItWithItsAge)
{
  Await([this] { return !mTwo.mCrashes.empty(); });
  Listener late(mContext, "relay-3", mPort, mLog);
  Await([&] { return !late.mCrashes.empty(); });
  EXPECT_EQ(late.mCrashes[0].mReport.mReport.mRequest, mRequest);
  late.mClient.Follow({});
}

TEST_F(OfWhichOneSawACrash, OneThatConnectsAfterItWasClearedDoesNot)
{
  ReportCrash(true);
  Await([this] { return mTwo.mCrashes.size() == 2; });
  Listener late(mContext, "relay-3", mPort, mLog);
  Await([&] { return !late.mNews.empty(); });
  EXPECT_TRUE(late.mCrashes.empty());
  late.mClient.Follow({});
}

class OfWhichOneHasMuchWaiting : public GivenACompanionAndTwoRelays
{
protected:
  static constexpr std::int64_t kMuch = 9000;

  OfWhichOneHasMuchWaiting()
  {
    mServer.SetState({ "i-1", "m", 1, protocol::EnginePhase::kOpen });
    mWaiting.Add(1, kMuch);
    mOne.mClient.SetWaiting(Listener::kEngine, mWaiting, {});
    Await([this] { return mTwo.mNews.back().mWaiting == mWaiting; });
  }

  state::WaitingTokens mWaiting;
};

TEST_F(OfWhichOneHasMuchWaiting, ItDoesNotReceiveItsOwn)
{
  EXPECT_EQ(mOne.mNews.back().mWaiting.Total(), 0);
}

TEST_F(OfWhichOneHasMuchWaiting, TheOtherIsInformedWhenItIsPrefilled)
{
  mOne.mClient.SetWaiting(Listener::kEngine, {}, {});
  Await([this] { return mTwo.mNews.back().mWaiting.Total() == 0; });
}

TEST_F(OfWhichOneHasMuchWaiting, TheTokensOfADisconnectedRelayNoLongerCount)
{
  mOne.mClient.Follow({});
  Await([this] { return mTwo.mNews.back().mWaiting.Total() == 0; });
}

TEST_F(OfWhichOneHasMuchWaiting, ASmallChangeIsNotSent)
{
  const auto before = mTwo.mNews.size();
  mWaiting.Add(1, 10);
  mOne.mClient.SetWaiting(Listener::kEngine, mWaiting, {});
  // This change is sent in any case, so the next update is not about the
  // tokens.
  mServer.SetState({ "i-1", "m", 2, protocol::EnginePhase::kOpen });
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, {});
  Await([&] { return mTwo.mNews.size() > before; });
  EXPECT_EQ(mTwo.mNews.back().mWaiting.Total(), kMuch);
}

class WhoseEngineStartedAgain : public GivenACompanionAndTwoRelays
{
protected:
  WhoseEngineStartedAgain()
  {
    mServer.SetState({ "i-1", "m", 1, protocol::EnginePhase::kOpen });
    mServer.SetIncarnation(mFormer);
    RequestPart("s/a");
    RequestPart("s/b");
    RequestPart("s/c");
    mServer.ChangeParts(PartHolder::kEngine, mFormer, { "s/a" }, {});
    mServer.SetIncarnation(mNow);
    Await([this] { return mOne.mNews.back().mEndpointIncarnation == mNow; });
  }

  const state::EndpointIncarnation mFormer{ 1000 };
  const state::EndpointIncarnation mNow{ 2000 };
};

TEST_F(WhoseEngineStartedAgain, RelaysReceiveAnEmptyListOfParts)
{
  EXPECT_TRUE(mOne.mNews.back().mIsFullSnapshot);
  EXPECT_TRUE(mOne.mNews.back().mAddedParts.empty());
}

TEST_F(WhoseEngineStartedAgain, PartsOfItsFormerIncarnationAreNotSent)
{
  mServer.ChangeParts(PartHolder::kEngine, mFormer, { "s/b" }, {});
  mServer.ChangeParts(PartHolder::kEngine, mNow, { "s/c" }, {});
  Await([this] { return !mOne.mNews.back().mAddedParts.empty(); });
  EXPECT_EQ(mOne.mNews.back().mAddedParts, std::vector<std::string>{ "s/c" });
}

} // namespace shuntjunction::coordination
