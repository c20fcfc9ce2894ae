#include "shuntjunction/coordination/fleet_daemon.h"

#include <algorithm>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "path_server.h"
#include "start_reporter.h"
#include "shuntjunction/coordination/throttled_engine_control.h"
#include "shuntjunction/coordination/engine_news.h"
#include "shuntjunction/coordination/engine_monitor.h"
#include "shuntjunction/coordination/part_follower.h"
#include "shuntjunction/coordination/part_store_reporter.h"
#include "shuntjunction/coordination/quarantine_writer.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/coordination/rollout_controller.h"
#include "shuntjunction/coordination/version_history_writer.h"
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

constexpr std::string_view kComponent = "process";
constexpr std::string_view kMetricsPath = "/metrics";

/// Pause between watches of the endpoint list, which batches changes because
/// each call to the store is costly. A relay must learn of a leaving endpoint
/// within two seconds; a companion needs little more than its own engine's
/// entry.
constexpr Millis kRelayListInterval{ 400 };
constexpr Millis kCompanionListInterval{ 2000 };

/// Time in which new connections still arrive: the load balancer polls
/// readiness once per second and stops sending after two refusals.
constexpr Millis kStopNotice{ 2600 };

/// Time after which new requests are refused. Callers that respect the notice
/// in responses have left by then, and a request accepted later might not
/// finish within the grace period.
constexpr Millis kRefuseAfter{ 3000 };

/// Fraction of the grace period after which no request is sent any more. The
/// rest of the time is longer than most requests take.
constexpr double kLastSendShare = 0.7;

/// Fraction of the grace period after which requests that are running are
/// ended.
constexpr double kForcedStopShare = 0.94;

/// Fraction of the grace period after which the process exits, even if an
/// answer is still being written.
constexpr double kLastAnswerShare = 0.97;

/// Interval at which a stopping process checks whether its connections have
/// closed.
constexpr Millis kStopPollInterval{ 25 };

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
    , mStart(mClock, mLog)
    , mControlGuard(asio::make_work_guard(mControl))
    , mSignals(mTraffic, SIGTERM, SIGINT, SIGHUP)
    , mZoneMirror(mControl,
                  MakeMirroredPlatformSettings(aSettings, aAdapter.mStoreCodec),
                  aAdapter.mPlatform,
                  mClock,
                  mLog,
                  [this](auto aPhase) { mStart.Note(aPhase); })
    , mFeed(
        mControl,
        FeedSettings(aSettings),
        mZoneMirror.Store(),
        aAdapter.mStoreCodec,
        mClock,
        mLog,
        mZoneMirror.Mirror(),
        [this](std::shared_ptr<const RelayView> aView) {
          ApplyView(std::move(aView));
        },
        [this](const ViewFreshness& aFreshness) { Confirm(aFreshness); })
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
      // Requests can be served without it.
      mLog.Write(EventLine(kComponent, "metrics-unavailable")
                   .Add("error", metrics.error().Describe()));
    }
    AwaitSignal();
    if (mSettings.mWatchListen.empty()) {
      mFeed.Start();
    } else {
      mZoneMirror.Start(mAdapter.mStoreCodec, mFeed);
    }
    mControlThread = std::thread([this] { mControl.run(); });
    mLog.Write(EventLine(kComponent, "start")
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
  /// On the traffic thread: serializes all metrics.
  std::string Exposition()
  {
    mStart.SetGauges(mMetrics);
    mMetrics.Set("shuntjunction_log_lines_dropped",
                 static_cast<double>(mLog.Dropped()));
    mZoneMirror.Store().SetGauges(mMetrics);
    mMetrics.Set("shuntjunction_refused_objects",
                 static_cast<double>(mFeed.RefusedObjects()));
    if (mRelay) {
      mMetrics.Set("shuntjunction_relay_companions_connected",
                   static_cast<double>(mNewsClient->Connected()));
      mRelay->SetGauges();
    }
    return mMetrics.Expose();
  }

  static RelayFeedSettings FeedSettings(const FleetSettings& aSettings)
  {
    RelayFeedSettings feed;
    // Each return of this watch also reveals whether the endpoint list is out
    // of date. The other half of the drain deadline is left for reading the
    // list again and for requests that are being sent.
    feed.mConfigWait = std::min(
      state::ConfirmationWait(aSettings.mBounds.mKeyRevocationDeadline),
      aSettings.mBounds.mDrainDeadline / 2);
    feed.mWatchesConfig = aSettings.mRole == FleetRole::kRelay;
    feed.mFollowsQuarantine = feed.mWatchesConfig;
    feed.mFollowsRollouts = aSettings.mHasRollouts;
    feed.mShortestEntryLifetime = aSettings.mShortestEntryLifetime;
    feed.mListPause = aSettings.mRole == FleetRole::kRelay
                        ? kRelayListInterval
                        : kCompanionListInterval;
    return feed;
  }

  /// Starts serving the store's mirror to other processes of the zone.
  Result<void> ServeZone()
  {
    const auto address = state::ParseAddress(mSettings.mWatchListen);
    if (!address) {
      return {};
    }
    const auto bound = mZoneMirror.Serve(*address, mFeed);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    return {};
  }

  Result<void> StartRelay()
  {
    mQuarantineWriter =
      std::make_unique<QuarantineWriter>(QuarantineWriterDependencies{
        mControl, mZoneMirror.Store(), mAdapter.mStoreCodec, mClock, mLog });
    mVersionHistory =
      std::make_unique<VersionHistoryWriter>(VersionHistoryWriterDependencies{
        mControl,
        mZoneMirror.Store(),
        mAdapter.mStoreCodec,
        mClock,
        mLog,
        mSettings.mIsFirstStart,
        [this](const auto& aService, const auto& aHistory) {
          asio::post(mTraffic, [this, service = aService, history = aHistory] {
            mRelay->ApplyVersionHistory(service, history);
          });
        } });
    mRelay = std::make_unique<Relay>(RelayDependencies{
      mTraffic,
      mSettings,
      mAdapter.mRelayCodec,
      mClock,
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
          mQuarantineWriter->StoreQuarantine(request, aFor);
        });
      },
      [this](const auto& aHost, const auto& aReport) {
        mNewsClient->ReportRollout(aHost, aReport);
      },
      [this](auto aHost, auto aRecord) {
        return mNewsClient->RecordStream(std::move(aHost), std::move(aRecord));
      },
      [this](auto aHost, auto aQuery) {
        return mNewsClient->FindStream(std::move(aHost), std::move(aQuery));
      },
      [this](auto aHost, auto aModel) {
        return mNewsClient->FindWeights(std::move(aHost), std::move(aModel));
      },
      &mMemoryProbe,
      [this](const auto& aRequest) {
        asio::post(mControl, [this, request = aRequest] {
          mQuarantineWriter->DeleteQuarantine(request);
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
      NewsClientSettings(peers->mPort),
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
      },
      [this](const std::string& aHost) { mRelay->ForgetNews(aHost); },
      [this](const state::RolloutNotice& aNotice) {
        mRelay->ApplyRolloutNotice(aNotice);
      });
    mNewsClient->OnWeightsQuery(
      [this](const auto& aModel) { return mRelay->ConfirmWeights(aModel); });
    return Serve(
      mReadiness, mSettings.mReadiness, mSettings.mReadinessPath, [this] {
        return mRelay->IsReady() ? PlainAnswer(200, "ready\n")
                                 : PlainAnswer(503, "not ready\n");
      });
  }

  EngineNewsClientSettings NewsClientSettings(std::uint16_t aPort) const
  {
    EngineNewsClientSettings settings{
      aPort, mSettings.mZone, {}, mSettings.mTopology
    };
    if (mSettings.mTopology.HasSeveralRegions()) {
      settings.mFollow.mMaxUnpinned = state::kUsedElsewhere;
    }
    return settings;
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
    StartStoreReporter();
    StartWeightsController();
    StartRolloutController();
    return {};
  }

  void StartRolloutController()
  {
    if (!mSettings.mHasRollouts) {
      return;
    }
    mRolloutController = std::make_unique<RolloutController>(
      RolloutControllerDependencies{ mControl,
                                     mSettings,
                                     mZoneMirror.Store(),
                                     mAdapter.mStoreCodec,
                                     mClock,
                                     mLog,
                                     mShares->Ownership(),
                                     mFeed.RolloutList(),
                                     [this](const auto& aNotice) {
                                       mNewsServer->PublishRollout(aNotice);
                                     } });
    mNewsServer->OnRolloutReport([this](const auto& aReport) {
      mRolloutController->ApplyReport(aReport);
    });
    mRolloutController->Start();
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
    // A relay whose list is not confirmed for longer than this refuses all
    // keys.
    shares.mOwnership.mHandover = mSettings.mBounds.mKeyRevocationDeadline;
    mShares = std::make_unique<state::LimitShares>(shares, peers->mHost);
    mLimits =
      std::make_unique<state::EndpointLimits>(state::EndpointLimitsSettings{},
                                              mShares->Ownership(),
                                              std::random_device{}());
    mNewsServer->SetLimits(*mShares, *mLimits);
    mNewsServer->SetStreams(mStreams);
    mNewsServer->OnWeightsQuery([this](const auto& aModel) {
      return mFeed.Weights(aModel).Confirmations(mClock.Now());
    });
    mNewsServer->OnWeightsConfirmed(
      [this](const auto& aModel, auto aVersion, auto aAt) {
        mFeed.ConfirmWeights(aModel, aVersion, aAt);
      });
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

  /// Starts reporting the engine's stored parts and state to relays.
  void FollowEngine()
  {
    mPartFollower = std::make_unique<PartFollower>(
      mControl,
      *mEngine,
      mLog,
      [this](auto aIncarnation, const auto& aGained, const auto& aLost) {
        mNewsServer->ChangeParts(
          PartHolder::kEngine, aIncarnation, aGained, aLost);
      },
      [this] { mNewsServer->ClearParts(PartHolder::kEngine); });
    mPartFollower->Start();
    mEngineMonitor = std::make_unique<EngineMonitor>(
      mControl, *mEngine, *mNewsServer, [this](const auto& aReport) {
        // An engine that came back may have missed new weights.
        if (!mWeightsController->ApplyReport(aReport)) {
          mFeed.EndListPause();
        }
      });
    mEngineMonitor->Start();
  }

  void StartStoreReporter()
  {
    mStoreReporter =
      std::make_unique<PartStoreReporter>(PartStoreReporterDependencies{
        mControl,
        mSettings,
        mZoneMirror.Store(),
        mAdapter.mStoreCodec,
        [this](const auto& aAddress) { return MakeControl(aAddress); },
        *mNewsServer,
        mLog });
    mStoreReporter->Start();
  }

  void StartWeightsController()
  {
    mWeightsController = std::make_unique<WeightsController>(
      WeightsControllerDependencies{ mControl,
                                     mSettings,
                                     mZoneMirror.Store(),
                                     mAdapter.mStoreCodec,
                                     *mEngine,
                                     *mNewsServer,
                                     mClock,
                                     mLog });
    mWeightsController->Start();
  }

  Result<void> Serve(std::unique_ptr<PathServer>& aServer,
                     const std::string& aAddress,
                     std::string aPath,
                     std::function<HttpResponse()> aRespond)
  {
    if (aAddress.empty()) {
      return {};
    }
    const auto address = state::ParseAddress(aAddress);
    if (!address) {
      return tl::unexpected(address.error());
    }
    aServer = std::make_unique<PathServer>(
      mTraffic, std::move(aPath), std::move(aRespond));
    const auto bound = aServer->mServer.Start(*address);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    return {};
  }

  /// On the control thread: distributes a new view to the components.
  void ApplyView(std::shared_ptr<const RelayView> aView)
  {
    mZoneMirror.ApplyEndpoints(aView->mEndpoints);
    if (aView->mConfig->Version() != 0) {
      mStart.Note(state::StartPhase::kConfigKnown);
    }
    if (!aView->mEndpoints.empty()) {
      mStart.Note(state::StartPhase::kEndpointsKnown);
    }
    if (mWeightsController) {
      UpdateCompanions(aView->mEndpoints);
      mStreams.Update(aView->mEndpoints, mClock.Now());
      Confirm(aView->mFreshness);
      mStoreReporter->ApplyView(aView);
      if (mRolloutController) {
        mRolloutController->ApplyView(aView);
      }
      mWeightsController->ApplyView(std::move(aView));
      return;
    }
    mQuarantineWriter->ApplyView(aView);
    asio::post(mTraffic, [this, view = aView]() mutable {
      const bool wasReady = mRelay->IsReady();
      mNewsClient->Follow(view->mEndpoints);
      mRelay->ApplyView(std::move(view));
      NoteReadiness(wasReady);
    });
    // Histories that it reads reach the traffic thread after the view.
    mVersionHistory->ApplyView(std::move(aView));
  }

  /// On the control thread: the view distributed last was confirmed. The
  /// traffic thread handles both in this order.
  void Confirm(const ViewFreshness& aFreshness)
  {
    if (!mRelay) {
      if (aFreshness.mEndpointsSince) {
        mStreams.FollowSince(*aFreshness.mEndpointsSince);
      }
      return;
    }
    asio::post(mTraffic, [this, aFreshness] {
      const bool wasReady = mRelay->IsReady();
      mRelay->Confirm(aFreshness);
      NoteReadiness(wasReady);
    });
    mVersionHistory->Confirm(aFreshness);
  }

  /// On the traffic thread: notes that the relay has become ready.
  void NoteReadiness(bool aWasReady)
  {
    if (!aWasReady && mRelay->IsReady()) {
      mLog.Write(EventLine(kComponent, "ready"));
      mStart.Note(state::StartPhase::kReady);
    }
  }

  void UpdateCompanions(const std::vector<state::EndpointInfo>& aEndpoints)
  {
    std::vector<std::string> hosts;
    for (const auto& [host, zone] : CompanionZones(aEndpoints)) {
      hosts.push_back(host);
    }
    const auto count = hosts.size();
    if (mShares->SetHosts(std::move(hosts), mClock.Now())) {
      mLimits->ForgetUnowned();
      mLog.Write(
        EventLine(kComponent, "limit-keepers").Add("companions", count));
    }
  }

  void AwaitSignal()
  {
    mSignals.async_wait([this](const auto& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReloadSettings();
      } else {
        BeginStop();
      }
      AwaitSignal();
    });
  }

  void ReloadSettings()
  {
    const auto settings = mReload();
    EventLine line(kComponent, "reload");
    if (settings) {
      // Ports and names are fixed while the process runs; bounds may change.
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
    mLog.Write(EventLine(kComponent, "stopping"));
    if (!mRelay) {
      mTraffic.stop();
      return;
    }
    mRelay->BeginStop();
    transport::Spawn(mTraffic, FinishStop());
  }

  Task<void> FinishStop()
  {
    const auto startedAt = mClock.Now();
    const auto grace =
      static_cast<double>(mSettings.mBounds.mStopGrace.count());
    const auto after = [&](double aShare) {
      return startedAt + Millis(static_cast<std::int64_t>(grace * aShare));
    };
    co_await transport::Sleep(kStopNotice);
    while (mRelay->Connections() > 0 &&
           mClock.Now() < after(kForcedStopShare)) {
      if (mClock.Now() >= startedAt + kRefuseAfter) {
        mRelay->RefuseNew();
      }
      if (mClock.Now() >= after(kLastSendShare)) {
        mRelay->EndUnsentRequests();
      }
      co_await transport::Sleep(kStopPollInterval);
    }
    const auto ended = mRelay->Active();
    mRelay->EndRequests();
    while (mRelay->Active() > 0 && mClock.Now() < after(kLastAnswerShare)) {
      co_await transport::Sleep(kStopPollInterval);
    }
    mLog.Write(EventLine(kComponent, "stopped")
                 .Add("ended", ended)
                 .Add("cut", mRelay->Active())
                 .Add("connections", mRelay->Connections()));
    mTraffic.stop();
  }

  FleetSettings mSettings;
  FleetAdapter mAdapter;
  Reload mReload;
  state::SystemClock mClock;
  EventLog mLog;
  StartReporter mStart;
  Metrics mMetrics;
  ProcessMemoryProbe mMemoryProbe;
  asio::io_context mControl{ 1 };
  asio::io_context mTraffic{ 1 };
  WorkGuard mControlGuard;
  asio::signal_set mSignals;
  ZoneMirror mZoneMirror;
  RelayFeed mFeed;
  std::unique_ptr<QuarantineWriter> mQuarantineWriter;
  std::unique_ptr<VersionHistoryWriter> mVersionHistory;
  std::unique_ptr<Relay> mRelay;
  std::unique_ptr<EngineNewsClient> mNewsClient;
  std::unique_ptr<state::LimitShares> mShares;
  std::unique_ptr<state::EndpointLimits> mLimits;
  /// Of a companion; used on the control thread.
  state::StreamRegistry mStreams{ state::StreamRecordSettings{} };
  std::unique_ptr<EngineNewsServer> mNewsServer;
  std::unique_ptr<EngineControl> mEngine;
  std::unique_ptr<PartFollower> mPartFollower;
  std::unique_ptr<EngineMonitor> mEngineMonitor;
  std::unique_ptr<PartStoreReporter> mStoreReporter;
  std::unique_ptr<WeightsController> mWeightsController;
  std::unique_ptr<RolloutController> mRolloutController;
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
