#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Hands values from one thread to another. `Fd` is readable while values wait.
template<class item>
class wake_queue
{
public:
  wake_queue()
    : mFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  {
  }
  ~wake_queue()
  {
    if (mFd >= 0) {
      close(mFd);
    }
  }
  wake_queue(const wake_queue&) = delete;
  wake_queue& operator=(const wake_queue&) = delete;

  int Fd() const { return mFd; }

  void Push(item aItem)
  {
    const std::lock_guard lock{ mMutex };
    mItems.push_back(std::move(aItem));
    // One wake-up serves all values that wait.
    if (mItems.size() == 1) {
      eventfd_write(mFd, 1);
    }
  }

  std::vector<item> TakeAll()
  {
    const std::lock_guard lock{ mMutex };
    eventfd_t count = 0;
    eventfd_read(mFd, &count);
    return std::exchange(mItems, {});
  }

private:
  int mFd = -1;
  std::mutex mMutex;
  std::vector<item> mItems;
};

} // namespace skylarkwind
