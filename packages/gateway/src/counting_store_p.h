#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/object_store.h"

#include <memory>

namespace skylarkwind {

/// Decorates a store client with a metric that counts calls by operation and object kind.
class counting_store final : public object_store
{
public:
  counting_store(std::unique_ptr<object_store> aInner, counters& aCounters)
    : mInner(std::move(aInner))
    , mCounters(aCounters)
  {
  }

  std::uint64_t Era() const override { return mInner->Era(); }
  bool IsReceiving(std::string_view aKind) const override { return mInner->IsReceiving(aKind); }
  kj::Promise<store_result<object_page>> List(std::string aKind,
                                              std::string aAfter,
                                              bool aMayBeStale) override
  {
    CountCall(aMayBeStale ? "stale_list" : "list", aKind);
    return mInner->List(std::move(aKind), std::move(aAfter), aMayBeStale);
  }
  kj::Promise<store_result<object_changes>> Watch(std::string aKind,
                                                  std::uint64_t aFrom,
                                                  std::chrono::milliseconds aWait) override
  {
    CountCall("watch", aKind);
    return mInner->Watch(std::move(aKind), aFrom, aWait);
  }
  kj::Promise<store_result<stored_object>> Read(std::string aKind, std::string aName) override
  {
    CountCall("read", aKind);
    return mInner->Read(std::move(aKind), std::move(aName));
  }
  kj::Promise<store_result<object_written>> Write(std::string aKind,
                                                  std::string aName,
                                                  std::optional<std::uint64_t> aRevision,
                                                  std::string aValue) override
  {
    CountCall("write", aKind);
    return mInner->Write(std::move(aKind), std::move(aName), aRevision, std::move(aValue));
  }
  kj::Promise<store_result<object_written>> Replace(std::string aKind,
                                                    std::string aName,
                                                    std::string aValue) override
  {
    CountCall("write", aKind);
    return mInner->Replace(std::move(aKind), std::move(aName), std::move(aValue));
  }
  kj::Promise<store_result<object_written>> Remove(std::string aKind,
                                                   std::string aName,
                                                   std::uint64_t aRevision) override
  {
    CountCall("remove", aKind);
    return mInner->Remove(std::move(aKind), std::move(aName), aRevision);
  }

private:
  void CountCall(const std::string& aCall, const std::string& aKind)
  {
    mCounters
      .Get("skylarkwind_store_calls_total",
           "Calls of the platform's store.",
           "call=\"" + aCall + "\",kind=\"" + aKind + '"')
      .Add();
  }

  std::unique_ptr<object_store> mInner;
  counters& mCounters;
};

} // namespace skylarkwind
