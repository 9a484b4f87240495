#pragma once

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace skylarkwind {

/// A program that a test started. It is ended, by its process id, with the object.
class child_process
{
public:
  /// Starts the program and waits until it prints "listening on ip:port".
  static std::unique_ptr<child_process> Start(const std::string& aProgram,
                                              const std::vector<std::string>& aArguments = {})
  {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe for " + aProgram);
    }
    std::unique_ptr<child_process> child{ new child_process(ends[0]) };
    child->Spawn(aProgram, aArguments, ends[1]);
    close(ends[1]);
    child->mAddress = child->ReadAddress(aProgram);
    return child;
  }

  ~child_process()
  {
    constexpr std::chrono::seconds kGrace{ 5 };
    Signal(SIGCONT);
    Signal(SIGTERM);
    if (!WaitForExit(kGrace)) {
      Signal(SIGKILL);
      WaitForExit(kGrace);
    }
    if (mCopying.joinable()) {
      mCopying.join();
    }
    close(mOutput);
  }
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  const std::string& Address() const { return mAddress; }
  std::string Url(const std::string& aPath) const { return "http://" + mAddress + aPath; }
  pid_t Pid() const { return mPid; }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }

  /// Appends to a file what the process prints from now on.
  void KeepOutput(const std::string& aFile)
  {
    mCopying = std::thread{ [output = mOutput, aFile] {
      const int file =
        open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
      char part[4'096];
      for (;;) {
        const auto count = read(output, part, sizeof(part));
        if (count <= 0 || write(file, part, static_cast<std::size_t>(count)) < 0) {
          break;
        }
      }
      close(file);
    } };
  }

  /// False when the process still runs at the end of the limit.
  bool WaitForExit(std::chrono::milliseconds aLimit)
  {
    constexpr std::chrono::milliseconds kStep{ 2 };
    auto until = std::chrono::steady_clock::now() + aLimit;
    while (mPid > 0) {
      if (waitpid(mPid, &mStatus, WNOHANG) == mPid) {
        mPid = -1;
      } else if (std::chrono::steady_clock::now() >= until) {
        return false;
      } else {
        std::this_thread::sleep_for(kStep);
      }
    }
    return true;
  }

  /// Wait status after WaitForExit.
  int Status() const { return mStatus; }

private:
  explicit child_process(int aOutput)
    : mOutput(aOutput)
  {
  }

  void Spawn(const std::string& aProgram, const std::vector<std::string>& aArguments, int aOutput)
  {
    std::vector<char*> arguments;
    arguments.reserve(aArguments.size() + 2);
    arguments.push_back(const_cast<char*>(aProgram.c_str()));
    for (const auto& argument : aArguments) {
      arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    // The stand-ins end with the test that started them, also when it crashes.
    std::vector<std::string> variables{ "SKYLARKWIND_EXIT_WITH_PARENT=1" };
    for (char** variable = environ; *variable != nullptr; ++variable) {
      variables.emplace_back(*variable);
    }
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (auto& variable : variables) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, aOutput, STDOUT_FILENO);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    // The kj loop blocks signals in this thread; the program starts with none blocked.
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    int failure = posix_spawn(
      &mPid, aProgram.c_str(), &actions, &attributes, arguments.data(), environment.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
      mPid = -1;
      close(aOutput);
      throw std::runtime_error("cannot start " + aProgram);
    }
  }

  std::string ReadAddress(const std::string& aProgram) const
  {
    constexpr int kLimitMs = 10'000;
    const std::string mark = "listening on ";
    std::string output;
    for (;;) {
      pollfd ready{ mOutput, POLLIN, 0 };
      char part[256];
      ssize_t count = poll(&ready, 1, kLimitMs) == 1 ? read(mOutput, part, sizeof(part)) : 0;
      if (count <= 0) {
        output.insert(0, " is not listening; it printed: ");
        throw std::runtime_error(aProgram + output);
      }
      output.append(part, static_cast<std::size_t>(count));
      auto start = output.find(mark);
      auto end = start == std::string::npos ? start : output.find('\n', start);
      if (end != std::string::npos) {
        start += mark.size();
        return output.substr(start, end - start);
      }
    }
  }

  pid_t mPid = -1;
  int mOutput;
  int mStatus = 0;
  std::string mAddress;
  std::thread mCopying;
};

} // namespace skylarkwind
