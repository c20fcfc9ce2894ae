// Example 2: chooses the endpoints that a router probes for a prompt. A hot
// prefix is spread over more endpoints.

#include <cstdio>
#include <set>

#include "shuntjunction/state/endpoint_chooser.h"

using namespace shuntjunction::state;

int
main()
{
  ConfigSnapshot config;
  std::vector<InstanceInfo> instances;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "endpoint-" + std::to_string(i);
    EndpointConfig endpoint;
    endpoint.mName = name;
    endpoint.mModel = "captions";
    config.mEndpoints.emplace(name, endpoint);
    instances.push_back({ name, "127.0.0.1:9000", "grandi", "companion" });
  }
  EndpointTable table{ EndpointTableSettings{} };
  table.Update(config, instances);

  const std::size_t routers = 1;
  RandomSource random(7);
  const auto chooser = MakeChooser(ChooserSettings{}, table, routers, random);
  const std::vector<PrefixLevel> levels{ { 101, 20 }, { 202, 36 } };
  const ChoiceQuery query{ "channel", "captions", levels, 40 };

  ManualClock clock;
  const auto countProbed = [&] {
    std::set<std::uint32_t> seen;
    for (int i = 0; i < 100; ++i) {
      for (const auto handle : chooser->Candidates(
             query, table.Usable("captions", clock.Now()), 3, clock.Now())) {
        seen.insert(handle.mIndex);
      }
    }
    return seen.size();
  };
  std::printf("endpoints probed for a cold prefix: %zu\n", countProbed());
  for (int i = 0; i < 200; ++i) { // 3 s of engine time per second
    chooser->NoteSent(query, 0.15, clock.Now());
    clock.Advance(Millis(50));
  }
  const std::size_t hot = countProbed();
  std::printf("endpoints probed for a hot prefix: %zu\n", hot);
  return hot > 3 ? 0 : 1;
}
