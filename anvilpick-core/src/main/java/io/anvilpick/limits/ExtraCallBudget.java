package io.anvilpick.limits;

/**
 * A budget for extra calls, which are those beyond the first of each request, such as retries and hedges.
 * Implementations are thread safe.
 */
public sealed interface ExtraCallBudget permits ShareBudget, WindowBudget {
    /** Records an ordinary call, which adds its share to the budget. */
    void deposit();

    /** Withdraws one extra call if the budget allows it; returns whether it does. */
    boolean tryWithdraw();
}
