#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "base/base.h"
#include "policy/types.h"

namespace lovagecleat::policy {

// Identifies a loan at the lender. Unique across incarnations of the borrower.
struct LoanKey {
  HostId borrower;
  std::uint64_t incarnation = 0;
  std::uint64_t loan = 0;

  friend bool operator<(const LoanKey& left, const LoanKey& right) {
    return std::tie(left.borrower, left.incarnation, left.loan) <
           std::tie(right.borrower, right.incarnation, right.loan);
  }
};

// The credits that this host has lent. A credit is available again when the
// borrower returns it, or when no call of the borrower can still use it.
class LentCredits {
 public:
  struct Loan {
    ServerId server;
    std::uint32_t amount = 0;
    std::uint32_t returned = 0;
    TimePoint expires_at{};
  };

  bool IsFull() const;
  const Loan* Find(const LoanKey& key) const;
  void Lend(const LoanKey& key, const Loan& loan);

  // `returned` is the total since the start of the loan, so that repeated or
  // reordered messages have no effect.
  void Return(const LoanKey& key, std::uint32_t returned);
  void Expire(TimePoint now);

  std::uint32_t Outstanding(const ServerId& server) const;
  std::optional<TimePoint> NextDue() const;

 private:
  std::map<LoanKey, Loan> loans_;
};

// The credits that this host has borrowed. A loan admits calls only until it
// expires; a call that still runs then keeps its credit until it ends.
class BorrowedCredits {
 public:
  struct Loan {
    HostId lender;
    ServerId server;
    std::uint32_t amount = 0;
    std::uint32_t in_use = 0;
    std::uint32_t returned = 0;
    TimePoint usable_until{};
    Warmth required_warmth = Warmth::kCold;
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

  // Returns a loan with a free credit that may be used while the server has
  // the given warmth.
  std::optional<std::uint64_t> FindUsable(const ServerId& server, Warmth warmth,
                                          TimePoint now) const;
  std::uint32_t CountUsable(const ServerId& server, Warmth warmth,
                            TimePoint now) const;

  // Takes one credit of the loan for a call. Returns the time until which the
  // call may be sent.
  TimePoint StartCall(std::uint64_t loan);
  void EndCall(std::uint64_t loan);

  // Makes all loans for `server` expire at `now` at the latest.
  void ExpireLoans(const ServerId& server, TimePoint now);

  // Removes and returns the credits of expired loans that no call uses.
  std::vector<Return> TakeReturns(TimePoint now);

  std::uint32_t InUse(const ServerId& server) const;
  std::optional<TimePoint> NextDue() const;

 private:
  std::map<std::uint64_t, Loan> loans_;
};

}  // namespace lovagecleat::policy
