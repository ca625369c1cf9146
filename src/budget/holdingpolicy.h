#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// Settings that determine how many of a team's prepaid tokens a router holds, and how fast it may commit them.
struct HoldingPolicy {
    /// A router aims to hold enough tokens for its own demand over this time: twice the longest loss of the store to be bridged, about nine
    /// seconds, because demand is uneven and holders also lend to other routers. Checkpoints limit what is lost when a router dies, so
    /// holding more costs little.
    Duration holdingSpan = std::chrono::seconds(18);
    /// Before any demand of a team is known, all routers together hold this share of what remains of its budget, so that a loss of the
    /// store in the first seconds does not find them without tokens.
    double initialShare = 0.4;
    /// Once a router has served callers for this long, it relies on the demand that it measured, and returns tokens that it drew without
    /// demand.
    Duration warmUpTime = std::chrono::seconds(5);
    /// When the budget does not cover what all routers aim to hold, this share of what remains is held in proportion to demand; the rest
    /// stays in the pool for routers that join. A request larger than its router's part is covered by loans from peers.
    double scarceShare = 0.95;
    /// Tokens above this multiple of the desired holding are returned; a holding below `refillBelow` times the desired one is refilled.
    double surplusFactor = 1.2;
    double refillBelow = 0.85;
    /// Time constant of the demand average: long enough to cover tens of requests, short enough to follow a team whose demand triples
    /// within seconds.
    Duration demandTimeConstant = std::chrono::seconds(5);
    /// Interval between flushes that draw or return tokens.
    Duration transferInterval = std::chrono::milliseconds(900);
    /// Interval between writes of a holding that changed. What other routers know of it is up to this old.
    Duration flushInterval = std::chrono::milliseconds(1800);
    /// Interval between writes of an unchanged holding. Without them the other routers would consider its holder dead.
    Duration refreshInterval = std::chrono::seconds(3);
    /// Interval between reads of the team's rows while this router has demand for the team.
    Duration readInterval = std::chrono::milliseconds(900);
    /// Interval between reads and writes while the budget is ample (`ampleSpan`) and no decision depends on what other routers know.
    /// Shorter than `staleAfter`, so that the others do not consider the holder dead.
    Duration ampleInterval = std::chrono::seconds(3);
    /// A request that cannot be reserved triggers a read and a flush at once, but at most once in this interval.
    Duration urgentInterval = std::chrono::milliseconds(50);
    /// A holder whose row is older than this is left out when tokens are distributed: it is dead, or cut off from the store with the tokens
    /// that it has.
    Duration staleAfter = std::chrono::seconds(6);
    /// Changes below this share of the desired holding are not made: they are not worth a conflict over the pool's row.
    double minChangeShare = 0.05;
    /// Between two checkpoints a holder may at once commit its demand over this time, in addition to the requests that wait for the
    /// checkpoint and to its demand over the time that two checkpoint writes take: the one in flight and the next. What this allows is lost
    /// when the holder dies; with less, callers wait for one checkpoint after the other while the store is slow.
    Duration burstSpan = std::chrono::milliseconds(100);
    /// A budget that covers the demand of all routers for this long is ample. Such a team does not notice the tokens that the death of a
    /// router strands, but its callers would notice refusals while the store is away. The holder may then at once commit its demand over
    /// the whole time before the commitment grows (`s_growthDelay`).
    Duration ampleSpan = std::chrono::seconds(30);
    /// After `s_growthDelay` a commitment grows at this multiple of demand, to make up for the time without growth, and at least at the
    /// rate that would use up the unused tokens within `growthSpan`, because a demand of a few requests a second is known only roughly.
    double growthDemandFactor = 1.6;
    Duration growthSpan = std::chrono::seconds(12);
    /// The store may return from a copy of itself that is at most this old. What a holder draws stays within what it has announced in every
    /// copy that the store may still return from.
    Duration maxCopyAge = std::chrono::seconds(15);
    /// After the store has returned from a copy, a holder draws nothing for this long, so that routers whose first rows were lost write
    /// them again. Idle holders write every `refreshInterval`.
    Duration restoreTime = std::chrono::seconds(5);
    /// A holder announces that it may draw this multiple of its part of the pool by demand, or so many equal parts if that is more.
    double headroomFactor = 1.25;
    double headroomEqualParts = 3;
    /// It announces at least `minHeadroom` times what it aims to hold, and so many equal parts of all prepaid tokens, so that it can draw
    /// what others return.
    double minHeadroom = 2;
    double minHeadroomParts = 2;
    /// A row that was older than this when the copy was made belongs to a holder that was dead or cut off. Longer than a host is suspended,
    /// because the time in a row does not include suspensions.
    Duration silentBeforeCopy = std::chrono::seconds(20);
    /// A router that became an assigned holder within this time before a return of the store may have written its first row after the copy
    /// was made: `maxCopyAge`, the time until others see the return, and the time that a slow store takes for a first row.
    Duration firstRowSpan = std::chrono::seconds(30);
    /// Whether a budget is held by a few assigned routers instead of by all, and whether routers lend each other tokens. Without loans each
    /// router serves only from the part that it holds.
    bool limitHolders = true;
    bool loans = true;
    /// A lender keeps its own demand over `lenderKeepSpan`. A borrower asks for its own demand over `borrowAhead` beyond the requests that
    /// wait, so that it does not have to ask again for each request.
    Duration lenderKeepSpan = std::chrono::milliseconds(300);
    Duration borrowAhead = std::chrono::seconds(1);
    /// A router that is not an assigned holder borrows its demand over this time in advance. With several requests a second of one team
    /// this saves most of the loan calls, each of which takes about a tenth of a millisecond of processor time on both sides, and all
    /// borrowers together hold no more than this.
    Duration unassignedBorrowAhead = std::chrono::milliseconds(250);
    /// Both ask for twice the time that loans take, if that is longer, so that requests do not wait for every second loan; and this long at
    /// most counts, as what a borrower holds is missing elsewhere.
    Duration maxLoanLatency = std::chrono::milliseconds(750);
    /// A router that is not an assigned holder returns borrowed tokens after this long without a request.
    Duration loanIdleTimeout = std::chrono::milliseconds(600);
};

}
