#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// How a router sizes what it holds of a team's prepaid tokens, and how fast it may commit them.
struct HoldingPolicy {
    /// A router aims to hold this much of its own demand: twice the longest cuts from the store, of about nine seconds, for demand is not
    /// even and its keepers lend. Checkpoints bound what a death loses, so that holding more costs little.
    Duration horizon = std::chrono::seconds(18);
    /// Before a router has seen any demand of a team, all routers together hold this share of what is left of the budget: a cut in the
    /// first seconds must not find them empty.
    double initialShare = 0.4;
    /// Demand is trusted, and what was drawn without it returned, once the router has served callers for this long.
    Duration learnFor = std::chrono::seconds(5);
    /// When the budget cannot fill every router's aim, this part of what is left is held in proportion to demand; the rest stays in the
    /// pool for routers that join. A request larger than its router's part is helped by peers.
    double scarceShare = 0.95;
    /// Holdings above this multiple of the aim go back, and a draw is made below that part of it.
    double surplusFactor = 1.2;
    double refillBelow = 0.85;
    /// Demand is averaged over this time: long enough for tens of requests, short enough to follow a team that triples within seconds.
    Duration demandMemory = std::chrono::seconds(5);
    /// Tokens are drawn and returned this often.
    Duration changeInterval = std::chrono::milliseconds(900);
    /// A holding that changed is written this often: what others know of it is that old.
    Duration flushInterval = std::chrono::milliseconds(1800);
    /// A holding that did not change is still written this often, or the others would take its holder for dead.
    Duration refreshInterval = std::chrono::seconds(3);
    /// What others hold and demand is read this often while there is any demand here.
    Duration readInterval = std::chrono::milliseconds(900);
    /// While the budget is ample (`ampleSpan`), nothing hinges on what others know, and rows are read and written only this often; sooner
    /// than others take the holder for dead.
    Duration ampleInterval = std::chrono::seconds(3);
    /// A request that cannot be reserved makes the holding read and flush at once, but no more often than this.
    Duration urgentInterval = std::chrono::milliseconds(50);
    /// A holder whose row is older takes part in nothing that is shared out now: it is dead, or cut off with what it has.
    Duration staleAfter = std::chrono::seconds(6);
    /// Changes below this part of the aim are not worth a conflict over the pool's row.
    double smallestChange = 0.05;
    /// Between two checkpoints a holder may commit its demand over this time at once, besides what waits for the checkpoint, and over the
    /// time that two checkpoints take: the one on its way and the next. What stands here is lost when it dies; less of it, and callers wait
    /// for one checkpoint after the other while the store is slow.
    Duration burstSpan = std::chrono::milliseconds(100);
    /// A budget that covers all routers' demand for this long does not miss what a death strands, and callers would miss it in an outage of
    /// the store. Then the demand of the whole time in which commitments stand still may be committed at once.
    Duration ampleSpan = std::chrono::seconds(30);
    /// Once a commitment grows (s_stillTime), it does so by this multiple of demand, to make up for the time in which it did not, and in
    /// any case by what is held over this span: demand of a few requests a second is known roughly.
    double paceOfDemand = 1.6;
    Duration paceSpan = std::chrono::seconds(12);
    /// Whether few routers keep a small budget, and whether routers lend. Off, every router keeps a part and lives on it.
    bool fewKeepers = true;
    bool loans = true;
    /// A lender keeps this much of its own demand, and a borrower asks for this much of its own beyond the request at hand, so that it does
    /// not ask for each request anew.
    Duration lendKeep = std::chrono::milliseconds(300);
    Duration borrowAhead = std::chrono::seconds(1);
    /// A router that keeps no part of the budget asks for this much ahead: with several requests a second of one team it saves most calls,
    /// each some tenth of a millisecond of a processor at both ends, and what lies with all borrowers together is no more than this.
    Duration guestAhead = std::chrono::milliseconds(250);
    /// A router that keeps no part of the budget gives back what it borrowed after so long without a request.
    Duration loanIdle = std::chrono::milliseconds(600);
};

}
