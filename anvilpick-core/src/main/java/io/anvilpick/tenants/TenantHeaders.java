package io.anvilpick.tenants;

/**
 * The names of the headers that concern tenants, in lower case.
 *
 * @param credential header in which a caller sends its key; it is never forwarded
 * @param tenant header in which a target receives the name of the tenant
 */
public record TenantHeaders(String credential, String tenant) {}
