#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "shuntjunction/state/enum_names.h"

/// Regions, availability zones and the distance between two of them.
namespace shuntjunction::state {

/// Network distance between two availability zones, nearest first.
///
/// A zone without a known region is placed after other zones of the own region
/// and before other regions: it may be either.
enum class Distance : std::uint8_t
{
  kSameZone,
  kSameRegion,
  kUnknown,
  kOtherRegion,
};

/// Names of Distance.
inline constexpr EnumNames<Distance, 4> kDistanceNames{
  { "same-zone", "same-region", "unknown", "other-region" }
};

/// Region of each availability zone.
using RegionByZone = std::map<std::string, std::string, std::less<>>;

/// The regions of a fleet, as a process's settings list them.
///
/// Immutable. Thread safety: all methods may be called from any thread.
class Topology
{
public:
  Topology() = default;
  explicit Topology(RegionByZone aRegions);

  /// Distance between two zones, the same in both directions.
  ///
  /// In a fleet of one region or without known regions it is kSameZone for
  /// equal zones and kSameRegion for all others, so that decisions are those of
  /// a process that knows no regions.
  Distance Between(std::string_view aZone, std::string_view aOther) const;

  /// Region of a zone; empty if it is not known.
  std::string_view RegionOf(std::string_view aZone) const;

  /// Whether the fleet spans more than one region.
  bool HasSeveralRegions() const { return mHasSeveralRegions; }

private:
  RegionByZone mRegions;
  bool mHasSeveralRegions = false;
};

} // namespace shuntjunction::state
