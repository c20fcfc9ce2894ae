#pragma once

#include <functional>
#include <string>

#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/router.h"
#include "shuntjunction/transport/http_server.h"

/// The operators' port: health, metrics, status, drain, explain.
namespace shuntjunction::coordination {

/// What the operators' port needs of its process.
struct AdminDependencies
{
  const state::Settings& mSettings;
  Metrics& mMetrics;
  Router* mRouter = nullptr;       ///< in a router
  Companion* mCompanion = nullptr; ///< in a companion
  std::function<bool()> mIsStopping;
  std::function<void()> mStop;
  std::function<std::string()> mStatus; ///< as JSON
};

/// Answers /healthz, /readyz, /metrics, /status, /drain and /explain.
///
/// All but the first three ask for the shared secret as a bearer key.
/// Thread safety: none; lives on the traffic thread.
class Admin final : public transport::HttpHandler
{
public:
  explicit Admin(AdminDependencies aParts);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  transport::Task<transport::HttpResponse> Answer(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> AnswerExplain(
    const transport::HttpRequest& aRequest);
  bool IsReady() const;

  AdminDependencies mParts;
};

} // namespace shuntjunction::coordination
