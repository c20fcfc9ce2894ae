#include "shuntjunction/coordination/platform.h"

namespace shuntjunction::coordination {

namespace {

state::InstanceInfo
ReadInstance(const boost::json::value& aValue, state::JsonReader& aOuter)
{
  state::JsonReader reader(aValue, "instance");
  state::InstanceInfo instance;
  instance.mName = reader.Text("name");
  instance.mAddress = reader.Text("address");
  instance.mZone = reader.Text("zone");
  instance.mRole = reader.Text("role");
  instance.mIsLeaving = reader.Flag("leaving", false);
  aOuter.Merge(reader.Finish());
  return instance;
}

} // namespace

state::ErrorCode
PlatformErrorOf(unsigned aStatus)
{
  constexpr unsigned kConflict = 409;
  constexpr unsigned kTooMany = 429;
  constexpr unsigned kServerError = 500;
  constexpr unsigned kServiceDown = 503;
  if (aStatus == kConflict) {
    return state::ErrorCode::kConflict;
  }
  if (aStatus == kTooMany || aStatus == kServiceDown) {
    return state::ErrorCode::kUnavailable;
  }
  // After any other server error, the effect is unknown.
  return aStatus >= kServerError ? state::ErrorCode::kTimeout
                                 : state::ErrorCode::kInvalidArgument;
}

boost::json::object
WriteInstance(const state::InstanceInfo& aInstance)
{
  return { { "name", aInstance.mName },
           { "address", aInstance.mAddress },
           { "zone", aInstance.mZone },
           { "role", aInstance.mRole },
           { "leaving", aInstance.mIsLeaving } };
}

std::vector<state::InstanceInfo>
ReadInstances(state::JsonReader& aReader)
{
  std::vector<state::InstanceInfo> instances;
  const auto* items = aReader.Find("instances");
  if (items == nullptr || !items->is_array()) {
    aReader.AddError("instances", "absent", "a list of instances");
    return instances;
  }
  for (const auto& item : items->as_array()) {
    instances.push_back(ReadInstance(item, aReader));
  }
  return instances;
}

transport::Task<state::Result<std::uint64_t>>
Platform::WriteStatus(std::string aKey,
                      std::string /*aStatus*/,
                      std::uint64_t /*aIfRevision*/)
{
  co_return state::Fail(state::ErrorCode::kInvalidArgument,
                        "platform.write_status",
                        aKey,
                        "objects of this platform have no status");
}

} // namespace shuntjunction::coordination
