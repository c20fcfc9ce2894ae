// Example 2: which endpoints a router asks for a prompt, and how a hot prefix
// spreads over more of them.

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
  const auto asked = [&] {
    std::set<std::uint32_t> seen;
    for (int i = 0; i < 100; ++i) {
      for (const auto handle : chooser->Candidates(
             query, table.Usable("captions", clock.Now()), 3, clock.Now())) {
        seen.insert(handle.mIndex);
      }
    }
    return seen.size();
  };
  std::printf("a cold prefix is asked for at %zu endpoints\n", asked());
  for (int i = 0; i < 200; ++i) { // three seconds of engine time a second
    chooser->NoteSent(query, 0.15, clock.Now());
    clock.Advance(Millis(50));
  }
  const std::size_t hot = asked();
  std::printf("a hot one at %zu\n", hot);
  return hot > 3 ? 0 : 1;
}
