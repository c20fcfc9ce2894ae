#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/streams/stream_records.h"

namespace shuntjunction::state {

/// Settings of StreamHolders.
struct StreamHolderSettings
{
  /// Companions of one availability zone that hold records, so that a relay
  /// needs connections to few.
  std::size_t mPerZone = 16;
  /// Companions of one zone that are asked: the list of another process may be
  /// older or newer.
  std::size_t mAskedPerZone = 2;
};

/// Selects the companions that hold the record of a stream: one each of two
/// availability zones. Since nobody knows which relay began a stream, those of
/// all zones are asked.
///
/// Processes with the same list select the same ones; a companion that joins or
/// leaves moves only its own records.
/// Thread safety: none; const methods may be called together.
class StreamHolders
{
public:
  explicit StreamHolders(const StreamHolderSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Applies a list of endpoints; those that serve models have companions.
  void Update(const std::vector<EndpointInfo>& aEndpoints);

  /// Hosts to which a record is written, none of which drains.
  ///
  /// @param aZone  of the relay; the first host is of this zone, if any is
  std::vector<std::string> ForWriting(StreamHash aStream,
                                      std::string_view aZone) const;

  /// Hosts that may hold a record, the most likely of each zone first.
  std::vector<std::string> ForReading(StreamHash aStream) const;

private:
  struct Holder
  {
    std::string mHost;
    bool mIsDraining = false;
  };

  /// A zone's holders in the order of a stream.
  std::vector<Holder> Ranked(const std::vector<Holder>& aZone,
                             StreamHash aStream) const;

  StreamHolderSettings mSettings;
  std::map<std::string, std::vector<Holder>, std::less<>> mZones;
};

} // namespace shuntjunction::state
