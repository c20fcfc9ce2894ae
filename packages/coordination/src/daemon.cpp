#include "shuntjunction/coordination/daemon.h"

#include <atomic>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/coordination/admin.h"
#include "shuntjunction/coordination/claim_sweeper.h"
#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/coordination/engine_reconciler.h"
#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/coordination/router.h"
#include "shuntjunction/coordination/status_writer.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
namespace json = boost::json;
using state::Address;
using state::Millis;
using state::ProcessRole;
using state::Result;
using state::Settings;
using state::TimePoint;
using transport::Task;

namespace {

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr Millis kDrainPoll{ 20 };
constexpr Millis kStatusInterval{ 500 };

/// Minimum time between the leaving message to routers and the exit of a
/// companion.
constexpr Millis kDrainNotice{ 200 };

Address
PlatformAddress(const Settings& aSettings)
{
  return state::ParseAddress(aSettings.mPlatform).value_or(Address{});
}

std::unique_ptr<Backend>
MakeBackend(const Settings& aSettings)
{
  const auto address =
    state::ParseAddress(aSettings.mCompanion.mBackend).value_or(Address{});
  const auto maxResponseBytes =
    static_cast<std::size_t>(aSettings.mLimits.mMaxAnswerBytes);
  return aSettings.mCompanion.mBackendKind == state::BackendKind::kEngine
           ? MakeEngineBackend(address, aSettings.mCompanion, maxResponseBytes)
           : MakeServiceBackend(
               address, aSettings.mCompanion, maxResponseBytes);
}

ConfigFeedSettings
FeedSettings(const Settings& aSettings)
{
  ConfigFeedSettings feed;
  feed.mName = aSettings.mName;
  feed.mZone = aSettings.mZone;
  feed.mSecret = aSettings.mSecret;
  feed.mPeers = aSettings.mPeers;
  feed.mWatchers = aSettings.mWatchers;
  feed.mWatchTimeout = aSettings.mWatchTimeout;
  return feed;
}

} // namespace

/// The process's components; later members depend on earlier ones.
class Daemon::Impl
{
public:
  explicit Impl(const Settings& aSettings)
    : mSettings(aSettings)
    , mLog(std::string(state::kProcessRoleNames.Name(aSettings.mRole)))
    , mControlGuard(asio::make_work_guard(mControl))
    , mTrafficGuard(asio::make_work_guard(mTraffic))
    , mSignals(mTraffic, SIGTERM, SIGINT)
    , mControlPlatform(PlatformAddress(aSettings), aSettings.mPlatformTimeout)
    , mTrafficPlatform(PlatformAddress(aSettings), aSettings.mPlatformTimeout)
    , mFeed(
        mControl,
        FeedSettings(aSettings),
        mControlPlatform,
        [this](PublishedConfig aConfig) { ApplyConfig(std::move(aConfig)); })
    , mStatus(mControl, mControlPlatform, aSettings.mName)
  {
  }

  ~Impl()
  {
    mControl.stop();
    mTraffic.stop();
    JoinThreads();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<DaemonAddresses> Start()
  {
    auto traffic = mSettings.mRole == ProcessRole::kRouter ? StartRouter()
                                                           : StartCompanion();
    if (!traffic) {
      return tl::unexpected(traffic.error());
    }
    auto admin = StartAdmin();
    if (!admin) {
      return tl::unexpected(admin.error());
    }
    mAdminText = admin->Text();
    mSignals.async_wait([this](auto aError, int /*aSignal*/) {
      if (!aError) {
        BeginStop();
      }
    });
    mFeed.Start();
    mStatus.Start();
    transport::Spawn(mTraffic, PublishStatus());
    mControlThread = std::thread([this] { mControl.run(); });
    mTrafficThread = std::thread([this] { mTraffic.run(); });
    mLog.Info(mSettings.mName + " listens on " + traffic->Text() +
              ", admin endpoint on " + admin->Text() + ".");
    return DaemonAddresses{ *traffic, *admin };
  }

  void RequestStop()
  {
    asio::post(mTraffic, [this] { BeginStop(); });
  }

  void Wait() { JoinThreads(); }

private:
  void JoinThreads()
  {
    if (mTrafficThread.joinable()) {
      mTrafficThread.join();
    }
    if (mControlThread.joinable()) {
      mControlThread.join();
    }
  }

  Result<Address> StartRouter()
  {
    mRouter = std::make_unique<Router>(
      mTraffic, mSettings, mClock, mMetrics, MakePeerSnapshotHandler());
    mRouter->Start();
    mServer = std::make_unique<transport::HttpServer>(
      mTraffic, mSettings.mLimits, *mRouter);
    const auto address = state::ParseAddress(mSettings.mRouter.mListen);
    return mServer->Start(*address);
  }

  Result<Address> StartCompanion()
  {
    mBackend = MakeBackend(mSettings);
    mCompanion = std::make_unique<Companion>(mTraffic,
                                             mSettings,
                                             *mBackend,
                                             mTrafficPlatform,
                                             mClock,
                                             mMetrics,
                                             MakePeerSnapshotHandler());
    mSweeper = std::make_unique<ClaimSweeper>(
      mTraffic,
      ClaimSweeperSettings{ mSettings.mName,
                            mSettings.mCompanion.mClaimRetention },
      mTrafficPlatform,
      mClock,
      mMetrics);
    mSweeper->Start();
    if (mBackend->IsEngine()) {
      mOrders = std::make_unique<EngineReconciler>(mTraffic,
                                                   mSettings,
                                                   *mBackend,
                                                   *mCompanion,
                                                   mTrafficPlatform,
                                                   mMetrics);
      mOrders->Start();
    }
    return mCompanion->Start();
  }

  Result<Address> StartAdmin()
  {
    mAdmin = std::make_unique<Admin>(
      AdminDependencies{ mSettings,
                         mMetrics,
                         mRouter.get(),
                         mCompanion.get(),
                         [this] { return mIsStopping; },
                         [this] { BeginStop(); },
                         [this] { return json::serialize(StatusObject()); } });
    mAdminServer = std::make_unique<transport::HttpServer>(
      mTraffic, mSettings.mLimits, *mAdmin);
    const auto address = state::ParseAddress(mSettings.mAdmin);
    return mAdminServer->Start(*address);
  }

  /// Creates a handler that posts a peer's snapshot from the traffic thread to
  /// the control thread.
  PeerSnapshotHandler MakePeerSnapshotHandler()
  {
    return [this](protocol::SnapshotReply aReply, std::string aPeer) {
      asio::post(mControl,
                 [this, reply = std::move(aReply), peer = std::move(aPeer)] {
                   mFeed.ApplyPeerSnapshot(reply, peer);
                 });
    };
  }

  /// On the control thread: posts a configuration to the traffic thread.
  void ApplyConfig(PublishedConfig aConfig)
  {
    asio::post(mTraffic, [this, config = std::move(aConfig)]() mutable {
      mConfig = config.mSnapshot;
      if (mRouter) {
        mRouter->ApplyConfig(config);
      } else {
        mCompanion->ApplyConfig(config);
        mSweeper->ApplyInstances(config.mInstances);
      }
      if (mOrders) {
        mOrders->ApplyConfig(config.mSnapshot);
      }
    });
  }

  /// The process's status, for the admin endpoint and the platform.
  json::object StatusObject() const
  {
    json::array quarantined;
    for (const auto& object : mConfig->mQuarantined) {
      quarantined.push_back(json::object{ { "key", object.mKey },
                                          { "revision", object.mRevision },
                                          { "reason", object.mReason } });
    }
    json::object status{
      { "name", mSettings.mName },
      { "role", std::string(state::kProcessRoleNames.Name(mSettings.mRole)) },
      { "zone", mSettings.mZone },
      { "admin", mAdminText },
      { "epoch", mConfig->mVersion.mEpoch },
      { "version", mConfig->mVersion.mRevision },
      { "stopping", mIsStopping },
      { "quarantined", std::move(quarantined) }
    };
    if (mCompanion) {
      status["model"] = mCompanion->LastState().mModel;
      status["weights"] = mCompanion->LastState().mWeights;
    }
    return status;
  }

  /// Passes the status to its writer periodically; only changes are written.
  Task<void> PublishStatus()
  {
    while (true) {
      asio::post(mControl, [this, text = json::serialize(StatusObject())] {
        mStatus.Set(text);
        asio::post(
          mTraffic,
          [this, counters = mFeed.Counters(), isWatching = mFeed.IsWatching()] {
            SetFeedGauges(counters, isWatching);
          });
      });
      co_await transport::Sleep(kStatusInterval);
    }
  }

  void SetFeedGauges(const ConfigFeedCounters& aCounters, bool aIsWatching)
  {
    const auto set = [&](std::string_view aName, std::uint64_t aValue) {
      mMetrics.Set(aName, static_cast<double>(aValue));
    };
    set("shuntjunction_config_platform_calls", aCounters.mPlatformCalls);
    set("shuntjunction_config_platform_errors", aCounters.mPlatformErrors);
    set("shuntjunction_config_older_refused", aCounters.mStaleAnswers);
    set("shuntjunction_config_gaps", aCounters.mGaps);
    set("shuntjunction_config_from_peers", aCounters.mFromPeers);
    set("shuntjunction_config_watcher_questions", aCounters.mWatcherQueries);
    set("shuntjunction_config_watchers_silent", aCounters.mUnansweredRounds);
    set("shuntjunction_config_peer_bytes", aCounters.mPeerBytes);
    set("shuntjunction_config_watching", aIsWatching ? 1 : 0);
  }

  // Graceful stop.

  void BeginStop()
  {
    if (std::exchange(mIsStopping, true)) {
      return;
    }
    mLog.Info("stopping.");
    if (mServer) {
      mServer->DisableKeepAlive();
    }
    if (mCompanion) {
      mCompanion->BeginDrain();
    }
    transport::Spawn(mTraffic, FinishStop());
  }

  Task<void> FinishStop()
  {
    const TimePoint until = mClock.Now() + mSettings.mDrainTimeout;
    // New requests arrive until the load balancer has seen that this router is
    // not ready.
    co_await transport::Sleep(mServer ? mSettings.mStopNotice : kDrainNotice);
    if (mServer) {
      mServer->Stop();
    }
    while (mClock.Now() < until && !IsIdle()) {
      co_await transport::Sleep(kDrainPoll);
    }
    mLog.Info(IsIdle() ? "stopped; all requests finished."
                       : "stopped at the drain timeout; requests were cut.");
    mControl.stop();
    mTraffic.stop();
  }

  bool IsIdle() const
  {
    return mRouter ? mRouter->Active() == 0 : mCompanion->IsIdle();
  }

  Settings mSettings;
  Log mLog;
  state::SystemClock mClock;
  Metrics mMetrics;
  asio::io_context mControl{ 1 };
  asio::io_context mTraffic{ 1 };
  WorkGuard mControlGuard;
  WorkGuard mTrafficGuard;
  asio::signal_set mSignals;
  HttpPlatform mControlPlatform;
  HttpPlatform mTrafficPlatform;
  ConfigFeed mFeed;
  StatusWriter mStatus;
  std::unique_ptr<Backend> mBackend;
  std::unique_ptr<Router> mRouter;
  std::unique_ptr<Companion> mCompanion;
  std::unique_ptr<ClaimSweeper> mSweeper;
  std::unique_ptr<EngineReconciler> mOrders;
  std::unique_ptr<Admin> mAdmin;
  std::unique_ptr<transport::HttpServer> mServer;
  std::unique_ptr<transport::HttpServer> mAdminServer;
  std::shared_ptr<const state::ConfigSnapshot> mConfig =
    std::make_shared<const state::ConfigSnapshot>();
  std::string mAdminText;
  bool mIsStopping = false;
  std::thread mControlThread;
  std::thread mTrafficThread;
};

Daemon::Daemon(const Settings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Daemon::~Daemon() = default;

Result<DaemonAddresses>
Daemon::Start()
{
  return mImpl->Start();
}

void
Daemon::RequestStop()
{
  mImpl->RequestStop();
}

void
Daemon::Wait()
{
  mImpl->Wait();
}

} // namespace shuntjunction::coordination
