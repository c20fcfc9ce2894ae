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

/// Processes that were started and not yet waited for.
std::set<int> sStarted;

/// Reads one line of a pipe.
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

/// What a child opens and closes before its program begins.
class SpawnActions
{
public:
  /// @param aOutput  its standard output where the command names no file
  SpawnActions(const ChildCommand& aCommand, int aOutput)
  {
    posix_spawn_file_actions_init(&mActions);
    if (aCommand.mOutputFile.empty()) {
      posix_spawn_file_actions_adddup2(&mActions, aOutput, STDOUT_FILENO);
    } else {
      Append(STDOUT_FILENO, aCommand.mOutputFile);
    }
    Append(STDERR_FILENO, aCommand.mErrorFile);
    // Sockets of this process would stay open for as long as the child lives.
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

/// Null-ended pointers to strings that outlive them, as exec wants them.
std::vector<char*>
Pointers(const std::vector<std::string>& aWords)
{
  std::vector<char*> pointers;
  pointers.reserve(aWords.size() + 1);
  for (const auto& word : aWords) {
    pointers.push_back(const_cast<char*>(word.c_str()));
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string>
WholeEnvironment(const std::vector<std::string>& aFurther)
{
  std::vector<std::string> all;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    all.emplace_back(*entry);
  }
  all.insert(all.end(), aFurther.begin(), aFurther.end());
  return all;
}

} // namespace

void
KillChildrenAndAbort(const std::string& aText)
{
  std::cerr << aText << "\n";
  for (const int pid : sStarted) {
    kill(pid, SIGKILL);
  }
  std::abort();
}

ChildProcess::ChildProcess(const ChildCommand& aCommand)
{
  std::array<int, 2> output{};
  if (pipe2(output.data(), O_CLOEXEC) != 0) {
    KillChildrenAndAbort("no pipe");
  }
  const SpawnActions actions(aCommand, output[1]);
  const auto environment = WholeEnvironment(aCommand.mEnvironment);
  const int failed = posix_spawn(&mPid,
                                 aCommand.mWords.front().c_str(),
                                 actions.Value(),
                                 nullptr,
                                 Pointers(aCommand.mWords).data(),
                                 Pointers(environment).data());
  close(output[1]);
  if (failed != 0) {
    KillChildrenAndAbort(aCommand.mWords.front() +
                         " cannot be started: " + std::strerror(failed));
  }
  sStarted.insert(mPid);
  if (aCommand.mOutputFile.empty()) {
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
    NoteEnd(status);
  }
  return mHasExited;
}

int
ChildProcess::WaitForExit()
{
  int status = 0;
  if (!mHasExited && waitpid(mPid, &status, 0) == mPid) {
    NoteEnd(status);
  }
  return mExit;
}

void
ChildProcess::NoteEnd(int aStatus)
{
  mHasExited = true;
  mExit = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
  sStarted.erase(mPid);
}

} // namespace shuntjunction::standins
