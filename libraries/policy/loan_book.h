#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "base/base.h"
#include "policy/types.h"

namespace lovagecleat::policy {

// A loan's name at the lender. Two incarnations of a borrower never share one.
struct LoanKey {
  HostId borrower;
  std::uint64_t incarnation = 0;
  std::uint64_t loan = 0;

  friend bool operator<(const LoanKey& left, const LoanKey& right) {
    return std::tie(left.borrower, left.incarnation, left.loan) <
           std::tie(right.borrower, right.incarnation, right.loan);
  }
};

// What this host has lent. A credit comes back when the borrower returns it,
// or when the borrower can surely not use it any more.
class LentCredits {
 public:
  struct Loan {
    ServerId server;
    std::uint32_t amount = 0;
    std::uint32_t returned = 0;
    TimePoint back_at{};
  };

  bool IsFull() const;
  const Loan* Find(const LoanKey& key) const;
  void Lend(const LoanKey& key, const Loan& loan);

  // `returned` counts from the start of the loan, so that a repeated or
  // reordered return changes nothing.
  void Return(const LoanKey& key, std::uint32_t returned);
  void Expire(TimePoint now);

  std::uint32_t Outstanding(const ServerId& server) const;
  std::optional<TimePoint> NextDue() const;

 private:
  std::map<LoanKey, Loan> loans_;
};

// What this host has borrowed. Calls on a loan start only before its end.
class BorrowedCredits {
 public:
  struct Loan {
    HostId lender;
    ServerId server;
    std::uint32_t amount = 0;
    std::uint32_t in_use = 0;
    std::uint32_t returned = 0;
    TimePoint start_before{};
    Warmth basis = Warmth::kCold;
  };
  struct Return {
    HostId lender;
    std::uint64_t loan = 0;
    ServerId server;
    std::uint32_t returned = 0;  // since the start of the loan
  };

  bool IsFull() const;
  bool Contains(std::uint64_t loan) const { return loans_.contains(loan); }
  void Add(std::uint64_t id, const Loan& loan);

  // A loan with a free credit whose basis is at most `warmth`.
  std::optional<std::uint64_t> FindFree(const ServerId& server, Warmth warmth,
                                        TimePoint now) const;
  std::uint32_t Free(const ServerId& server, Warmth warmth,
                     TimePoint now) const;

  // Returns until when the call may be sent.
  TimePoint Use(std::uint64_t loan);
  void StopUse(std::uint64_t loan);

  // Starts no further calls on loans of `server`.
  void End(const ServerId& server, TimePoint now);

  // Takes out what no call uses any more of the loans that have ended.
  std::vector<Return> TakeReturns(TimePoint now);

  std::uint32_t InUse(const ServerId& server) const;
  std::optional<TimePoint> NextDue() const;

 private:
  std::map<std::uint64_t, Loan> loans_;
};

}  // namespace lovagecleat::policy
