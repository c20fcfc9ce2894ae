#pragma once

#include <functional>
#include <string>

#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/router.h"
#include "shuntjunction/transport/http_server.h"

/// The admin HTTP endpoint: health, metrics, status, drain, explain.
namespace shuntjunction::coordination {

/// Dependencies of the admin endpoint; references and pointers outlive it.
struct AdminDependencies
{
  const state::Settings& mSettings;
  Metrics& mMetrics;
  Router* mRouter = nullptr;       ///< set in a router, otherwise null
  Companion* mCompanion = nullptr; ///< set in a companion, otherwise null
  std::function<bool()> mIsStopping;
  std::function<void()> mStop;
  std::function<std::string()> mStatus; ///< returns the status as JSON
};

/// Serves /healthz, /readyz, /metrics, /status, /drain and /explain.
///
/// All paths but the first three require the shared secret as a bearer token.
/// Thread safety: none; used on the traffic thread.
class Admin final : public transport::HttpHandler
{
public:
  explicit Admin(AdminDependencies aDependencies);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  transport::Task<transport::HttpResponse> Route(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> HandleExplain(
    const transport::HttpRequest& aRequest);
  bool IsReady() const;

  AdminDependencies mDependencies;
};

} // namespace shuntjunction::coordination
