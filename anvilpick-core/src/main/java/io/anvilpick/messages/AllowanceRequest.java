package io.anvilpick.messages;

/**
 * Requests tokens of a tenant's allowance from one of its grantors.
 *
 * @param tenant name of the tenant
 * @param wanted maximum number of tokens to grant
 */
public record AllowanceRequest(String tenant, int wanted) implements PeerRequest {}
