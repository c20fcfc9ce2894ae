#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "shuntjunction/coordination/engine_monitor.h"
#include "shuntjunction/state/zone_watchers.h"

// What companions report to relays, and relays to each other.

namespace shuntjunction::coordination {

namespace {

namespace asio = transport::asio;
using protocol::EngineNews;
using protocol::PartReading;
using state::Millis;
using transport::Task;

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
        EngineNewsClientSettings{ aPort, "a", {} },
        aLog,
        [this](const EngineNews& aNews) { mNews.push_back(aNews); },
        [this](const PartReading& aReading) { mReadings.push_back(aReading); },
        [this](const protocol::CrashReports& aReports) {
          mCrashes.insert(
            mCrashes.end(), aReports.mUpdates.begin(), aReports.mUpdates.end());
        },
        [this](const state::RateNews& aNews) { mRates.push_back(aNews); },
        [this](const std::string& aHost) { mEnded.push_back(aHost); },
        [this](const std::string& aHost) { mUnfollowed.push_back(aHost); })
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
  std::vector<std::string> mUnfollowed;
  EngineNewsClient mClient;
};

} // namespace

/// A context on which a test runs its processes, and what they share.
class GivenAContext : public ::testing::Test
{
protected:
  GivenAContext()
    : mLog(EventLogSettings{}, mClock)
  {
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
};

class GivenACompanionAndTwoRelays : public GivenAContext
{
protected:
  GivenACompanionAndTwoRelays()
    : mServer(mContext, { "companion", "secret of this test", 0 }, mClock, mLog)
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

namespace {

/// An engine whose reports fail with an error.
class EngineWithoutReports final : public EngineControl
{
public:
  explicit EngineWithoutReports(state::ErrorCode aError)
    : mError(aError)
  {
  }

  void SetNoticeHandler(NoticeHandler) override {}

  Task<state::Result<EngineReport>> Report() override
  {
    ++mReports;
    co_return state::Fail(mError, "engine.report", "", "");
  }
  Task<state::Result<PartChanges>> Changes(std::uint64_t, Millis) override
  {
    co_return state::Fail(mError, "engine.changes", "", "");
  }
  Task<state::Result<OrderOutcome>> Order(LoadOrder) override
  {
    co_return state::Fail(mError, "engine.order", "", "");
  }

  int Reports() const { return mReports; }

private:
  state::ErrorCode mError;
  int mReports = 0;
};

} // namespace

class WhoseEngineFailsItsReports : public GivenACompanionAndTwoRelays
{
protected:
  /// Monitors an engine until it has failed some reports.
  void Monitor(state::ErrorCode aError)
  {
    constexpr int kReports = 6;
    mEngine = std::make_unique<EngineWithoutReports>(aError);
    mMonitor = std::make_unique<EngineMonitor>(
      mContext, *mEngine, mServer, [](const auto&) {});
    mMonitor->Start();
    Await([&] { return mEngine->Reports() >= kReports; });
  }

  std::unique_ptr<EngineWithoutReports> mEngine;
  std::unique_ptr<EngineMonitor> mMonitor;
};

// Guards against a second run of a request that its engine still works on.
TEST_F(WhoseEngineFailsItsReports, ItIsNotDownWhileItResponds)
{
  Monitor(state::ErrorCode::kProtocol);
  for (const auto& news : mOne.mNews) {
    EXPECT_NE(news.mPhase, protocol::EnginePhase::kDown);
  }
}

TEST_F(WhoseEngineFailsItsReports, ItIsDownWhenItDoesNotRespond)
{
  Monitor(state::ErrorCode::kUnavailable);
  Await([this] {
    return mOne.mNews.back().mPhase == protocol::EnginePhase::kDown;
  });
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

namespace {

constexpr std::size_t kMaxFollowed = 4;

/// Engines with one companion each, at addresses 127.0.0.1 and up.
std::vector<state::EndpointInfo>
Engines(int aCount)
{
  std::vector<state::EndpointInfo> engines;
  for (int i = 1; i <= aCount; ++i) {
    state::EndpointInfo engine;
    engine.mId = "i-" + std::to_string(i);
    engine.mAddress = "127.0.0." + std::to_string(i) + ":1";
    engine.mZone = "a";
    engine.mModels = { { "m", 1 } };
    engines.push_back(engine);
  }
  return engines;
}

std::string
HostOf(const std::string& aAddress)
{
  return state::ParseAddress(aAddress)->mHost;
}

/// A companion that listens on a host of its own.
struct Companion
{
  Companion(asio::io_context& aContext,
            const std::string& aHost,
            std::uint16_t aPort,
            const state::Clock& aClock,
            EventLog& aLog)
    : mServer(aContext, { aHost, "secret of this test", 0 }, aClock, aLog)
    , mPort(mServer.Start({ aHost, aPort })->mPort)
  {
    mServer.SetState({ aHost, "m", 1, protocol::EnginePhase::kOpen });
  }

  EngineNewsServer mServer;
  std::uint16_t mPort;
};

} // namespace

class GivenMoreCompanionsThanARelayFollows : public GivenAContext
{
protected:
  GivenMoreCompanionsThanARelayFollows()
    : mEngines(Engines(30))
    , mWatchers(state::SelectZoneWatchers(mEngines, "a", {}))
  {
    Add(HostOf(mWatchers[0]));
    Add(HostOf(mWatchers[1]));
    mRelay = NewRelay("relay-1");
  }

  ~GivenMoreCompanionsThanARelayFollows() override { mRelay->Follow({}); }

  Companion& Add(const std::string& aHost)
  {
    const std::uint16_t port =
      mCompanions.empty() ? 0 : mCompanions.begin()->second->mPort;
    auto& companion = mCompanions[aHost];
    companion =
      std::make_unique<Companion>(mContext, aHost, port, mClock, mLog);
    return *companion;
  }

  std::unique_ptr<EngineNewsClient> NewRelay(const std::string& aName)
  {
    auto relay = std::make_unique<EngineNewsClient>(
      mContext,
      transport::ChannelIdentity{ aName, "secret of this test", 0 },
      EngineNewsClientSettings{
        mCompanions.begin()->second->mPort, "a", { kMaxFollowed } },
      mLog,
      [this, aName](const EngineNews& aNews) { mNews[aName].push_back(aNews); },
      [](const PartReading&) {},
      [this, aName](const protocol::CrashReports& aReports) {
        mCrashes[aName] += aReports.mUpdates.size();
      },
      [](const state::RateNews&) {},
      [](const std::string&) {},
      [this](const std::string& aHost) { mUnfollowed.push_back(aHost); });
    relay->Follow(mEngines);
    return relay;
  }

  /// An engine whose companion is no watcher, by number.
  std::string Engine(std::size_t aNumber) const
  {
    std::vector<std::string> others;
    for (const auto& engine : mEngines) {
      if (engine.mAddress != mWatchers[0] && engine.mAddress != mWatchers[1]) {
        others.push_back(engine.mAddress);
      }
    }
    return others.at(aNumber);
  }

  bool HasNewsOf(const std::string& aHost) const
  {
    const auto found = mNews.find("relay-1");
    return found != mNews.end() &&
           std::any_of(
             found->second.begin(),
             found->second.end(),
             [&](const auto& aNews) { return aNews.mEndpoint == aHost; });
  }

  static state::WaitingTokens Waiting(std::int64_t aTokens)
  {
    state::WaitingTokens waiting;
    waiting.Add(1, aTokens);
    return waiting;
  }

  std::vector<state::EndpointInfo> mEngines;
  std::vector<std::string> mWatchers;
  std::map<std::string, std::unique_ptr<Companion>> mCompanions;
  std::map<std::string, std::vector<EngineNews>> mNews; ///< by relay
  std::map<std::string, std::size_t> mCrashes;          ///< by relay
  std::vector<std::string> mUnfollowed;
  std::unique_ptr<EngineNewsClient> mRelay;
};

TEST_F(GivenMoreCompanionsThanARelayFollows, ItFollowsTheWatchersAndWhatItUses)
{
  const auto host = HostOf(Engine(0));
  Add(host);
  Await([&] {
    return HasNewsOf(HostOf(mWatchers[0])) && HasNewsOf(HostOf(mWatchers[1]));
  });
  EXPECT_FALSE(HasNewsOf(host));
  mRelay->SetWaiting(Engine(0), Waiting(5000), {});
  Await([&] { return HasNewsOf(host); });
  {
    SCOPED_TRACE("up to its limit, without those that it used longest ago");
    mRelay->SetWaiting(Engine(1), Waiting(5000), {});
    EXPECT_TRUE(mUnfollowed.empty());
    mRelay->SetWaiting(Engine(2), Waiting(5000), {});
    EXPECT_EQ(mUnfollowed, std::vector<std::string>{ host });
  }
  {
    SCOPED_TRACE("that nothing waits is no use");
    mRelay->SetWaiting(Engine(0), {}, {});
    EXPECT_EQ(mUnfollowed.size(), 1U);
  }
}

TEST_F(GivenMoreCompanionsThanARelayFollows,
       WhatItReportsBeforeItIsConnectedArrives)
{
  auto& companion = Add(HostOf(Engine(0))).mServer;
  companion.ChangeParts(PartHolder::kEngine, {}, { "s/a" }, {});
  mRelay->SetWaiting(Engine(0), Waiting(5000), "s/a");
  Await([&] {
    const auto& news = mNews["relay-1"];
    return std::any_of(news.begin(), news.end(), [](const auto& aNews) {
      return aNews.mAddedParts == std::vector<std::string>{ "s/a" };
    });
  });
}

TEST_F(GivenMoreCompanionsThanARelayFollows, ACrashReachesAllRelays)
{
  auto other = NewRelay("relay-2");
  const auto isConnected = [&](const std::string& aRelay) {
    return mNews[aRelay].size() >= 2;
  };
  Await([&] { return isConnected("relay-1") && isConnected("relay-2"); });
  protocol::CrashReports reports;
  const state::RequestDigest request({ "POST", "h", "/p", "", "body" });
  reports.mUpdates.push_back({ { { request, 7 }, Millis(0) }, false });
  mRelay->SendCrashReports(7, reports);
  Await([&] { return mCrashes["relay-2"] > 0; });
  other->Follow({});
}

TEST_F(GivenMoreCompanionsThanARelayFollows, AnyCompanionCanBeAskedForAShare)
{
  const auto host = HostOf(Engine(0));
  auto& companion = Add(host);
  state::LimitShares shares({}, host);
  shares.SetHosts({ host }, mClock.Now() - std::chrono::hours(1));
  state::EndpointLimits limits({}, shares.Ownership(), 1);
  companion.mServer.SetLimits(shares, limits);
  std::optional<state::ShareGrant> grant;
  transport::Spawn(
    mContext,
    [](EngineNewsClient& aRelay,
       std::string aHost,
       std::optional<state::ShareGrant>& aGrant) -> transport::Task<void> {
      const state::ShareRequest request{ { 5, 0 }, { 100, 100 }, 1, 3 };
      aGrant = co_await aRelay.RequestShare(std::move(aHost), request);
    }(*mRelay, host, grant));
  Await([&] { return grant.has_value(); });
  EXPECT_EQ(grant->mAmount, 3U);
}

TEST_F(GivenMoreCompanionsThanARelayFollows, AnyCompanionCanBeAskedForWeights)
{
  const auto host = HostOf(Engine(0));
  Add(host).mServer.OnWeightsQuery([](const std::string& aModel) {
    return std::vector<state::WeightsConfirmation>{ { aModel == "m" ? 1U : 0U,
                                                      Millis(700) } };
  });
  std::optional<std::vector<state::WeightsConfirmation>> confirmations;
  transport::Spawn(
    mContext,
    [](EngineNewsClient& aRelay,
       std::string aHost,
       std::optional<std::vector<state::WeightsConfirmation>>& aConfirmations)
      -> transport::Task<void> {
      aConfirmations = co_await aRelay.FindWeights(std::move(aHost), "m");
    }(*mRelay, host, confirmations));
  Await([&] { return confirmations.has_value(); });
  const state::WeightsConfirmation expected{ 1, Millis(700) };
  ASSERT_EQ(confirmations->size(), 1U);
  EXPECT_EQ(confirmations->front(), expected);
}

// In a small fleet a companion seldom gets an answer of the store.
TEST_F(GivenMoreCompanionsThanARelayFollows,
       ACompanionPassesTheQuestionOnToOtherRelays)
{
  const auto host = HostOf(Engine(0));
  auto& companion = Add(host).mServer;
  companion.OnWeightsQuery([](const std::string&) {
    return std::vector<state::WeightsConfirmation>{};
  });
  state::WeightsHistory confirmed;
  companion.OnWeightsConfirmed(
    [&](const std::string& aModel, std::uint64_t aVersion, auto aAt) {
      EXPECT_EQ(aModel, "m");
      confirmed.Confirm(aVersion, aAt);
    });
  auto other = NewRelay("relay-2");
  other->OnWeightsQuery([](const std::string&) {
    return std::vector<state::WeightsConfirmation>{ { 1, Millis(700) } };
  });
  other->SetWaiting(Engine(0), Waiting(5000), {});
  Await([&] {
    const auto& news = mNews["relay-2"];
    return std::any_of(news.begin(), news.end(), [&](const auto& aNews) {
      return aNews.mEndpoint == host;
    });
  });
  const auto askedAt = mClock.Now();
  transport::Spawn(
    mContext,
    [](EngineNewsClient& aRelay, std::string aHost) -> transport::Task<void> {
      co_await aRelay.FindWeights(std::move(aHost), "m");
    }(*mRelay, host));
  Await([&] { return !confirmed.Confirmations(askedAt).empty(); });
  confirmed.Learn(2, askedAt);
  EXPECT_LE(confirmed.SupersededFor(1, askedAt), Millis(700));
  other->Follow({});
}

} // namespace shuntjunction::coordination
