#include "shuntjunction/coordination/fleet_daemon.h"

#include <algorithm>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "path_server.h"
#include "shuntjunction/coordination/throttled_engine_control.h"
#include "shuntjunction/coordination/engine_news.h"
#include "shuntjunction/coordination/engine_monitor.h"
#include "shuntjunction/coordination/part_follower.h"
#include "shuntjunction/coordination/part_store_reporter.h"
#include "shuntjunction/coordination/quarantine_writer.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/coordination/weights_controller.h"
#include "shuntjunction/coordination/zone_mirror.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::HttpResponse;
using transport::Task;
namespace asio = transport::asio;

namespace {

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr std::string_view kPart = "process";
constexpr std::string_view kMetricsPath = "/metrics";

/// Changes of the list are taken together, since each call has a price: a relay
/// must hear of a leaving endpoint within two seconds, a companion needs little
/// more than its own engine's entry.
constexpr Millis kRelayListPause{ 400 };
constexpr Millis kCompanionListPause{ 2000 };

/// The balancer asks once a second and leaves after two refusals; until then
/// new connections still come.
constexpr Millis kStopNotice{ 2600 };

/// From then on new requests are refused: callers that heed the answers' word
/// have left, and what is taken later might not end within the grace.
constexpr Millis kRefuseAfter{ 3000 };

/// Share of the grace after which the process ends whatever runs.
constexpr double kEndShare = 0.94;

/// How often a process that stops looks whether its requests have ended.
constexpr Millis kStopPoll{ 25 };

} // namespace

class FleetDaemon::Impl
{
public:
  Impl(const FleetSettings& aSettings,
       const FleetAdapter& aAdapter,
       Reload aReload)
    : mSettings(aSettings)
    , mAdapter(aAdapter)
    , mReload(std::move(aReload))
    , mLog(EventLogSettings{}, mClock)
    , mControlGuard(asio::make_work_guard(mControl))
    , mSignals(mTraffic, SIGTERM, SIGINT, SIGHUP)
    , mZone(mControl,
            MakeMirroredPlatformSettings(aSettings, aAdapter.mStoreCodec),
            aAdapter.mPlatform,
            mClock,
            mLog)
    , mFeed(mControl,
            FeedSettings(aSettings),
            mZone.Store(),
            aAdapter.mStoreCodec,
            mClock,
            mLog,
            mZone.Mirror(),
            [this](std::shared_ptr<const RelayView> aView) {
              ApplyView(std::move(aView));
            })
  {
  }

  ~Impl()
  {
    mControl.stop();
    if (mControlThread.joinable()) {
      mControlThread.join();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Start()
  {
    const bool isRelay = mSettings.mRole == FleetRole::kRelay;
    auto started = isRelay ? StartRelay() : StartCompanion();
    if (!started) {
      return started;
    }
    auto metrics = Serve(mMetricsServer,
                         mSettings.mMetrics,
                         std::string(kMetricsPath),
                         [this] { return PlainAnswer(200, Exposition()); });
    if (!metrics) {
      // Callers are served without it.
      mLog.Write(EventLine(kPart, "metrics-unavailable")
                   .Add("error", metrics.error().Describe()));
    }
    AwaitSignal();
    if (!mSettings.mWatchListen.empty()) {
      mZone.Start();
    }
    mFeed.Start();
    mControlThread = std::thread([this] { mControl.run(); });
    mLog.Write(EventLine(kPart, "start")
                 .Add("name", mSettings.mName)
                 .Add("role", kFleetRoleNames.Name(mSettings.mRole))
                 .Add("zone", mSettings.mZone)
                 .Add("listen", mSettings.mListen)
                 .Add("engine", mSettings.mEngine));
    return {};
  }

  void Run()
  {
    const auto guard = asio::make_work_guard(mTraffic);
    mTraffic.run();
  }

private:
  /// On the traffic thread: all metrics as text.
  std::string Exposition()
  {
    mMetrics.Set("shuntjunction_log_lines_dropped",
                 static_cast<double>(mLog.Dropped()));
    mMetrics.Set("shuntjunction_watch_served",
                 mZone.Store().IsMirrored() ? 1 : 0);
    for (std::size_t i = 0; i < kStoreCallNames.Size(); ++i) {
      const auto call = static_cast<StoreCall>(i);
      mMetrics.Set("shuntjunction_store_calls",
                   static_cast<double>(mZone.Store().Calls(call)),
                   { { "call", std::string(kStoreCallNames.Name(call)) } });
    }
    mMetrics.Set("shuntjunction_watch_answers",
                 static_cast<double>(mZone.Store().MirrorResponses()));
    mMetrics.Set("shuntjunction_refused_objects",
                 static_cast<double>(mFeed.RefusedObjects()));
    if (mRelay) {
      mRelay->SetGauges();
    }
    return mMetrics.Expose();
  }

  static RelayFeedSettings FeedSettings(const FleetSettings& aSettings)
  {
    RelayFeedSettings feed;
    // Its returns also tell when the list of endpoints is behind: half of the
    // bound is left for reading it anew and for what is being sent.
    feed.mConfigWait =
      std::min(state::ConfirmationWait(aSettings.mBounds.mKeyRemoval),
               aSettings.mBounds.mEndpointLeaving / 2);
    feed.mWatchesConfig = aSettings.mRole == FleetRole::kRelay;
    feed.mFollowsQuarantine = feed.mWatchesConfig;
    feed.mListPause = aSettings.mRole == FleetRole::kRelay
                        ? kRelayListPause
                        : kCompanionListPause;
    return feed;
  }

  /// Begins to answer for the store in this zone, if others ask.
  Result<void> ServeZone()
  {
    const auto address = state::ParseAddress(mSettings.mWatchListen);
    if (!address) {
      return {};
    }
    const auto bound = mZone.Serve(*address, mFeed);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    return {};
  }

  Result<void> StartRelay()
  {
    mQuarantine =
      std::make_unique<QuarantineWriter>(QuarantineWriterDependencies{
        mControl, mZone.Store(), mAdapter.mStoreCodec, mClock, mLog });
    mRelay = std::make_unique<Relay>(RelayDependencies{
      mTraffic,
      mSettings,
      mAdapter.mRelayCodec,
      mClock,
      mFeed.Confirmed(),
      mFeed.EndpointList(),
      mLog,
      mMetrics,
      [this](const auto& aAddress, const auto& aReading) {
        mNewsClient->SendPartReading(aAddress, aReading);
      },
      [this](const auto& aAddress, const auto& aWaiting, const auto& aPart) {
        mNewsClient->SetWaiting(aAddress, aWaiting, aPart);
      },
      [this](auto aEndpoint, const auto& aReports) {
        mNewsClient->SendCrashReports(aEndpoint, aReports);
      },
      [this](auto aHost, auto aAsk) {
        return mNewsClient->RequestShare(std::move(aHost), aAsk);
      },
      [this](const auto& aHost, const auto& aBack) {
        mNewsClient->ReturnShare(aHost, aBack);
      },
      [this](auto aHost, auto aAsk) {
        return mNewsClient->RequestPermit(std::move(aHost), aAsk);
      },
      [this](const auto& aHost, auto aEndpoint) {
        mNewsClient->ReturnPermit(aHost, aEndpoint);
      },
      [this](const auto& aHost, const auto& aReport) {
        mNewsClient->ReportRate(aHost, aReport);
      },
      [this](const auto& aRequest, auto aFor) {
        asio::post(mControl, [this, request = aRequest, aFor] {
          mQuarantine->StoreQuarantine(request, aFor);
        });
      } });
    const auto address = mRelay->Start();
    if (!address) {
      return tl::unexpected(address.error());
    }
    const auto peers = state::ParseAddress(mSettings.mPeerListen);
    if (!peers) {
      return tl::unexpected(peers.error());
    }
    mNewsClient = std::make_unique<EngineNewsClient>(
      mTraffic,
      Identity(),
      peers->mPort,
      mLog,
      [this](const protocol::EngineNews& aNews) { mRelay->ApplyNews(aNews); },
      [this](const protocol::PartReading& aReading) {
        mRelay->ApplyPartReading(aReading);
      },
      [this](const protocol::CrashReports& aReports) {
        mRelay->ApplyCrashReports(aReports);
      },
      [this](const state::RateNews& aNews) { mRelay->ApplyRateNews(aNews); },
      [this](const std::string& aHost) {
        mRelay->HandleNewsConnectionEnd(aHost);
      });
    return Serve(
      mReadiness, mSettings.mReadiness, mSettings.mReadinessPath, [this] {
        return mRelay->IsReady() ? PlainAnswer(200, "ready\n")
                                 : PlainAnswer(503, "not ready\n");
      });
  }

  transport::ChannelIdentity Identity() const
  {
    return { mSettings.mName, mSettings.mSecret, 0 };
  }

  Result<void> StartCompanion()
  {
    auto started = StartNewsServer();
    if (!started) {
      return started;
    }
    started = ServeZone();
    if (!started) {
      return started;
    }
    const auto engine = state::ParseAddress(mSettings.mEngine);
    if (!engine) {
      return tl::unexpected(engine.error());
    }
    mEngine = MakeControl(*engine);
    FollowEngine();
    StartStoreTeller();
    StartKeeper();
    return {};
  }

  Result<void> StartNewsServer()
  {
    const auto peers = state::ParseAddress(mSettings.mPeerListen);
    if (!peers) {
      return tl::unexpected(peers.error());
    }
    mNewsServer =
      std::make_unique<EngineNewsServer>(mControl, Identity(), mClock, mLog);
    state::LimitSharesSettings shares;
    // A relay that hears of no list for longer refuses all keys.
    shares.mOwnership.mHandover = mSettings.mBounds.mKeyRemoval;
    shares.mBurstTolerance = mSettings.mBounds.mUsageTolerance / 2;
    mShares = std::make_unique<state::LimitShares>(shares, peers->mHost);
    mLimits =
      std::make_unique<state::EndpointLimits>(state::EndpointLimitsSettings{},
                                              mShares->Ownership(),
                                              std::random_device{}());
    mNewsServer->SetLimits(*mShares, *mLimits);
    const auto bound = mNewsServer->Start(*peers);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    return {};
  }

  std::unique_ptr<EngineControl> MakeControl(const state::Address& aAddress)
  {
    return std::make_unique<ThrottledEngineControl>(
      mAdapter.mMakeControl(aAddress), mClock, mLog);
  }

  /// Begins to tell the relays of the engine's parts and state.
  void FollowEngine()
  {
    mParts = std::make_unique<PartFollower>(
      mControl,
      *mEngine,
      mLog,
      [this](auto aLife, const auto& aGained, const auto& aLost) {
        mNewsServer->ChangeParts(PartHolder::kEngine, aLife, aGained, aLost);
      },
      [this] { mNewsServer->ClearParts(PartHolder::kEngine); });
    mParts->Start();
    mWatch = std::make_unique<EngineMonitor>(
      mControl, *mEngine, *mNewsServer, [this](const auto& aReport) {
        mKeeper->ApplyReport(aReport);
      });
    mWatch->Start();
  }

  void StartStoreTeller()
  {
    mStoreTeller =
      std::make_unique<PartStoreReporter>(PartStoreReporterDependencies{
        mControl,
        mSettings,
        mZone.Store(),
        mAdapter.mStoreCodec,
        [this](const auto& aAddress) { return MakeControl(aAddress); },
        *mNewsServer,
        mLog });
    mStoreTeller->Start();
  }

  void StartKeeper()
  {
    mKeeper = std::make_unique<WeightsController>(
      WeightsControllerDependencies{ mControl,
                                     mSettings,
                                     mZone.Store(),
                                     mAdapter.mStoreCodec,
                                     *mEngine,
                                     *mNewsServer,
                                     mClock,
                                     mLog });
    mKeeper->Start();
  }

  Result<void> Serve(std::unique_ptr<PathServer>& aServer,
                     const std::string& aAddress,
                     std::string aPath,
                     std::function<HttpResponse()> aAnswer)
  {
    if (aAddress.empty()) {
      return {};
    }
    const auto address = state::ParseAddress(aAddress);
    if (!address) {
      return tl::unexpected(address.error());
    }
    aServer = std::make_unique<PathServer>(
      mTraffic, std::move(aPath), std::move(aAnswer));
    const auto bound = aServer->mServer.Start(*address);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    return {};
  }

  /// On the control thread: hands a view to whom it concerns.
  void ApplyView(std::shared_ptr<const RelayView> aView)
  {
    mZone.ApplyEndpoints(aView->mEndpoints);
    if (mKeeper) {
      TakeCompanions(aView->mEndpoints);
      mStoreTeller->ApplyView(aView);
      mKeeper->ApplyView(std::move(aView));
      return;
    }
    mQuarantine->ApplyView(aView);
    asio::post(mTraffic, [this, view = std::move(aView)]() mutable {
      const bool wasReady = mRelay->IsReady();
      mNewsClient->Follow(view->mEndpoints);
      mRelay->ApplyView(std::move(view));
      if (!wasReady && mRelay->IsReady()) {
        mLog.Write(EventLine(kPart, "ready"));
      }
    });
  }

  void TakeCompanions(const std::vector<state::EndpointInfo>& aEndpoints)
  {
    std::vector<std::string> hosts;
    for (const auto& [host, zone] : CompanionZones(aEndpoints)) {
      hosts.push_back(host);
    }
    const auto count = hosts.size();
    if (mShares->SetHosts(std::move(hosts), mClock.Now())) {
      mLimits->ForgetUnowned();
      mLog.Write(EventLine(kPart, "limit-keepers").Add("companions", count));
    }
  }

  void AwaitSignal()
  {
    mSignals.async_wait([this](const auto& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReadSettingsAgain();
      } else {
        BeginStop();
      }
      AwaitSignal();
    });
  }

  void ReadSettingsAgain()
  {
    const auto settings = mReload();
    EventLine line(kPart, "reload");
    if (settings) {
      // Ports and names hold for a process's life; bounds may change.
      mSettings.mBounds = settings->mBounds;
      line.Add("outcome", "taken");
    } else {
      line.Add("outcome", "refused").Add("error", settings.error().Describe());
    }
    mLog.Write(std::move(line));
  }

  void BeginStop()
  {
    if (std::exchange(mIsStopping, true)) {
      return;
    }
    mLog.Write(EventLine(kPart, "stopping"));
    if (!mRelay) {
      mTraffic.stop();
      return;
    }
    mRelay->BeginStop();
    transport::Spawn(mTraffic, FinishStop());
  }

  Task<void> FinishStop()
  {
    const auto begun = mClock.Now();
    const auto grace =
      static_cast<double>(mSettings.mBounds.mStopGrace.count());
    const auto after = [&](double aShare) {
      return begun + Millis(static_cast<std::int64_t>(grace * aShare));
    };
    co_await transport::Sleep(kStopNotice);
    while (mRelay->Connections() > 0 && mClock.Now() < after(kEndShare)) {
      if (mClock.Now() >= begun + kRefuseAfter) {
        mRelay->RefuseNew();
      }
      co_await transport::Sleep(kStopPoll);
    }
    mLog.Write(EventLine(kPart, "stopped")
                 .Add("cut", mRelay->Active())
                 .Add("connections", mRelay->Connections()));
    mTraffic.stop();
  }

  FleetSettings mSettings;
  FleetAdapter mAdapter;
  Reload mReload;
  state::SystemClock mClock;
  EventLog mLog;
  Metrics mMetrics;
  asio::io_context mControl{ 1 };
  asio::io_context mTraffic{ 1 };
  WorkGuard mControlGuard;
  asio::signal_set mSignals;
  ZoneMirror mZone;
  RelayFeed mFeed;
  std::unique_ptr<QuarantineWriter> mQuarantine;
  std::unique_ptr<Relay> mRelay;
  std::unique_ptr<EngineNewsClient> mNewsClient;
  std::unique_ptr<state::LimitShares> mShares;
  std::unique_ptr<state::EndpointLimits> mLimits;
  std::unique_ptr<EngineNewsServer> mNewsServer;
  std::unique_ptr<EngineControl> mEngine;
  std::unique_ptr<PartFollower> mParts;
  std::unique_ptr<EngineMonitor> mWatch;
  std::unique_ptr<PartStoreReporter> mStoreTeller;
  std::unique_ptr<WeightsController> mKeeper;
  std::unique_ptr<PathServer> mReadiness;
  std::unique_ptr<PathServer> mMetricsServer;
  bool mIsStopping = false;
  std::thread mControlThread;
};

FleetDaemon::FleetDaemon(const FleetSettings& aSettings,
                         const FleetAdapter& aAdapter,
                         Reload aReload)
  : mImpl(std::make_unique<Impl>(aSettings, aAdapter, std::move(aReload)))
{
}

FleetDaemon::~FleetDaemon() = default;

Result<void>
FleetDaemon::Start()
{
  return mImpl->Start();
}

void
FleetDaemon::Run()
{
  mImpl->Run();
}

} // namespace shuntjunction::coordination
