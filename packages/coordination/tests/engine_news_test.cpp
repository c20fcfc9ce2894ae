#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

// The story of what companions tell relays, and relays each other.

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
            mCrashes.end(), aReports.mWords.begin(), aReports.mWords.end());
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
  std::vector<protocol::CrashWord> mCrashes;
  std::vector<state::RateNews> mRates;
  std::vector<std::string> mEnded; ///< hosts whose companion ended
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
    // The first news on a connection says that it stands.
    Await([this] { return !mOne.mNews.empty() && !mTwo.mNews.empty(); });
  }

  /// One of the relays asks for a part, and has been heard.
  void AskFor(const std::string& aPart)
  {
    mServer.ChangeParts(PartHolder::kEngine, {}, { aPart }, {});
    mOne.mClient.SetWaiting(Listener::kEngine, {}, aPart);
    Await([&] {
      return mTwo.mNews.back().mGained == std::vector<std::string>{ aPart };
    });
    mServer.ChangeParts(PartHolder::kEngine, {}, {}, { aPart });
  }

  /// Runs everything until something is so; a test that waits in vain fails.
  void Await(const std::function<bool()>& aIsSo)
  {
    constexpr std::chrono::seconds kPatience{ 30 };
    const auto until = state::BootClock::now() + kPatience;
    while (!aIsSo() && state::BootClock::now() < until) {
      mContext.restart();
      mContext.run_for(Millis(5));
    }
    EXPECT_TRUE(aIsSo());
  }

  state::SystemClock mClock;
  asio::io_context mContext{ 1 };
  EventLog mLog;
  EngineNewsServer mServer;
  std::uint16_t mPort;
  Listener mOne;
  Listener mTwo;
};

TEST_F(GivenACompanionAndTwoRelays, NeitherHearsOfPartsThatNobodyAskedFor)
{
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/own" }, {});
  AskFor("s/a");
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, { "s/own" });
  const auto hears = [&](const std::string& aPart) {
    return std::any_of(
      mTwo.mNews.begin(), mTwo.mNews.end(), [&](const auto& aNews) {
        const auto& gained = aNews.mGained;
        return std::find(gained.begin(), gained.end(), aPart) != gained.end();
      });
  };
  Await([&] { return hears("s/a"); });
  EXPECT_FALSE(hears("s/own"));
}

TEST_F(GivenACompanionAndTwoRelays, BothHearWhatTheEngineKeeps)
{
  AskFor("s/a");
  mServer.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, {});
  const auto hasGained = [](const Listener& aListener) {
    return aListener.mNews.back().mGained == std::vector<std::string>{ "s/a" };
  };
  Await([&] { return hasGained(mOne) && hasGained(mTwo); });
}

TEST_F(GivenACompanionAndTwoRelays, WhatOneReadsTheOtherHearsAndNotItself)
{
  mOne.mClient.SendPartReading(Listener::kEngine, { "s/a", false });
  mOne.mClient.SendPartReading(Listener::kEngine, { "s/a", true });
  Await([&] { return mTwo.mReadings.size() == 2; });
  EXPECT_EQ(mTwo.mReadings[0].mPart, "s/a");
  EXPECT_FALSE(mTwo.mReadings[0].mIsDone);
  EXPECT_TRUE(mTwo.mReadings[1].mIsDone);
  EXPECT_TRUE(mOne.mReadings.empty());
  {
    SCOPED_TRACE("the channel stands: news still come");
    AskFor("s/b");
    mServer.ChangeParts(PartHolder::kEngine, {}, { "s/b" }, {});
    Await([&] {
      return mOne.mNews.back().mGained == std::vector<std::string>{ "s/b" };
    });
  }
}

class OfWhichOneSawACrash : public GivenACompanionAndTwoRelays
{
protected:
  OfWhichOneSawACrash() { SendPartReading(false); }

  void SendPartReading(bool aIsCleared)
  {
    protocol::CrashReports reports;
    reports.mWords.push_back(
      { { { mRequest, kCrashed }, Millis(0) }, aIsCleared });
    mOne.mClient.SendCrashReports(kCrashed, reports);
  }

  static constexpr std::uint64_t kCrashed = 7;
  const state::RequestDigest mRequest{ { "POST", "h", "/p", "", "body" } };
};

TEST_F(OfWhichOneSawACrash, TheOtherHearsOfItOnce)
{
  SendPartReading(false);
  SendPartReading(true);
  Await([this] { return mTwo.mCrashes.size() == 2; });
  EXPECT_EQ(mTwo.mCrashes[0].mReport.mReport.mRequest, mRequest);
  EXPECT_FALSE(mTwo.mCrashes[0].mIsCleared);
  EXPECT_TRUE(mTwo.mCrashes[1].mIsCleared);
}

// What other processes know after a restart.
TEST_F(OfWhichOneSawACrash, OneThatComesLaterHearsOfItWithItsAge)
{
  Await([this] { return !mTwo.mCrashes.empty(); });
  Listener late(mContext, "relay-3", mPort, mLog);
  Await([&] { return !late.mCrashes.empty(); });
  EXPECT_EQ(late.mCrashes[0].mReport.mReport.mRequest, mRequest);
  late.mClient.Follow({});
}

TEST_F(OfWhichOneSawACrash, OneThatComesAfterItWasClearedDoesNot)
{
  SendPartReading(true);
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

TEST_F(OfWhichOneHasMuchWaiting, ItIsNotToldOfItsOwn)
{
  EXPECT_EQ(mOne.mNews.back().mWaiting.Total(), 0);
}

TEST_F(OfWhichOneHasMuchWaiting, TheOtherHearsWhenItIsRead)
{
  mOne.mClient.SetWaiting(Listener::kEngine, {}, {});
  Await([this] { return mTwo.mNews.back().mWaiting.Total() == 0; });
}

TEST_F(OfWhichOneHasMuchWaiting, WhatOneThatWentHadWaitingCountsNoMore)
{
  mOne.mClient.Follow({});
  Await([this] { return mTwo.mNews.back().mWaiting.Total() == 0; });
}

TEST_F(OfWhichOneHasMuchWaiting, LittleMoreIsNotWorthAMessage)
{
  const auto before = mTwo.mNews.size();
  mWaiting.Add(1, 10);
  mOne.mClient.SetWaiting(Listener::kEngine, mWaiting, {});
  // The next news that must come is of something else.
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
    mServer.SetLife(mFormer);
    AskFor("s/a");
    AskFor("s/b");
    AskFor("s/c");
    mServer.ChangeParts(PartHolder::kEngine, mFormer, { "s/a" }, {});
    mServer.SetLife(mNow);
    Await([this] { return mOne.mNews.back().mEndpointIncarnation == mNow; });
  }

  const state::EndpointIncarnation mFormer{ 1000 };
  const state::EndpointIncarnation mNow{ 2000 };
};

TEST_F(WhoseEngineStartedAgain, RelaysHearThatItKeepsNothing)
{
  EXPECT_TRUE(mOne.mNews.back().mIsWhole);
  EXPECT_TRUE(mOne.mNews.back().mGained.empty());
}

TEST_F(WhoseEngineStartedAgain, WhatItsFormerLifeKeptIsNotTold)
{
  mServer.ChangeParts(PartHolder::kEngine, mFormer, { "s/b" }, {});
  mServer.ChangeParts(PartHolder::kEngine, mNow, { "s/c" }, {});
  Await([this] { return !mOne.mNews.back().mGained.empty(); });
  EXPECT_EQ(mOne.mNews.back().mGained, std::vector<std::string>{ "s/c" });
}

} // namespace shuntjunction::coordination
