// Example 4: the response to creating a claim is lost. Reading the claim back
// resolves it, so that the request is executed once.

#include <cstdio>

#include "shuntjunction/state/claim_machine.h"

using namespace shuntjunction::state;

int
main()
{
  ClaimMachine machine("my nonce", "digest of the booking");
  const auto print = [&](const char* aEvent) {
    std::printf("%-32s -> %s\n",
                aEvent,
                std::string(kClaimStepNames.Name(machine.Step())).c_str());
  };
  print("initial state");
  machine.OnCreateResult(
    Fail(ErrorCode::kTimeout, "platform.write", "platform", "no answer"));
  print("create response lost");
  machine.OnReadResult(std::optional(machine.NewRecord(0)));
  print("own nonce read back");
  return machine.Step() == ClaimStep::kExecute ? 0 : 1;
}
