#include "child_process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <set>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shuntjunction::standins {

namespace {

constexpr mode_t kLogMode = 0644;

/// Ids of started processes that were not yet reaped.
std::set<int> sRunning;

/// Reads one line from a pipe.
std::string
ReadLine(int aDescriptor)
{
  std::string line;
  char next = 0;
  while (read(aDescriptor, &next, 1) == 1 && next != '\n') {
    line += next;
  }
  return line;
}

/// File actions that the child performs before exec.
class SpawnActions
{
public:
  /// @param aOutput  standard output if the command names no file
  SpawnActions(const ChildCommand& aCommand, int aOutput)
  {
    posix_spawn_file_actions_init(&mActions);
    if (aCommand.mStdoutFile.empty()) {
      posix_spawn_file_actions_adddup2(&mActions, aOutput, STDOUT_FILENO);
    } else {
      Append(STDOUT_FILENO, aCommand.mStdoutFile);
    }
    Append(STDERR_FILENO, aCommand.mStderrFile);
    // An inherited socket would stay open for as long as the child lives.
    posix_spawn_file_actions_addclosefrom_np(&mActions, STDERR_FILENO + 1);
  }

  ~SpawnActions() { posix_spawn_file_actions_destroy(&mActions); }

  SpawnActions(const SpawnActions&) = delete;
  SpawnActions& operator=(const SpawnActions&) = delete;

  const posix_spawn_file_actions_t* Value() const { return &mActions; }

private:
  void Append(int aDescriptor, const std::string& aFile)
  {
    constexpr int kAppend = O_CREAT | O_WRONLY | O_APPEND;
    posix_spawn_file_actions_addopen(
      &mActions, aDescriptor, aFile.c_str(), kAppend, kLogMode);
  }

  posix_spawn_file_actions_t mActions{};
};

/// Null-terminated array for exec; the strings must outlive it.
std::vector<char*>
PointersOf(const std::vector<std::string>& aStrings)
{
  std::vector<char*> pointers;
  pointers.reserve(aStrings.size() + 1);
  for (const auto& text : aStrings) {
    pointers.push_back(const_cast<char*>(text.c_str()));
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string>
FullEnvironment(const std::vector<std::string>& aAdditional)
{
  std::vector<std::string> all;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    all.emplace_back(*entry);
  }
  all.insert(all.end(), aAdditional.begin(), aAdditional.end());
  return all;
}

} // namespace

void
KillChildrenAndAbort(const std::string& aText)
{
  std::cerr << aText << "\n";
  for (const int pid : sRunning) {
    kill(pid, SIGKILL);
  }
  std::abort();
}

ChildProcess::ChildProcess(const ChildCommand& aCommand)
{
  std::array<int, 2> output{};
  if (pipe2(output.data(), O_CLOEXEC) != 0) {
    KillChildrenAndAbort("cannot create a pipe");
  }
  const SpawnActions actions(aCommand, output[1]);
  const auto environment = FullEnvironment(aCommand.mEnvironment);
  const int spawnError = posix_spawn(&mPid,
                                     aCommand.mArguments.front().c_str(),
                                     actions.Value(),
                                     nullptr,
                                     PointersOf(aCommand.mArguments).data(),
                                     PointersOf(environment).data());
  close(output[1]);
  if (spawnError != 0) {
    KillChildrenAndAbort(aCommand.mArguments.front() +
                         " cannot be started: " + std::strerror(spawnError));
  }
  sRunning.insert(mPid);
  if (aCommand.mStdoutFile.empty()) {
    mFirstLine = ReadLine(output[0]);
  }
  close(output[0]);
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  WaitForExit();
}

void
ChildProcess::Signal(int aSignal)
{
  if (!HasExited()) {
    kill(mPid, aSignal);
  }
}

bool
ChildProcess::HasExited()
{
  int status = 0;
  if (!mHasExited && waitpid(mPid, &status, WNOHANG) == mPid) {
    RecordExit(status);
  }
  return mHasExited;
}

int
ChildProcess::WaitForExit()
{
  int status = 0;
  if (!mHasExited && waitpid(mPid, &status, 0) == mPid) {
    RecordExit(status);
  }
  return mExitCode;
}

void
ChildProcess::RecordExit(int aStatus)
{
  mHasExited = true;
  mExitCode = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
  sRunning.erase(mPid);
}

} // namespace shuntjunction::standins
