package org.trefoilledge.core.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/** A change of the configuration. Each entry of the configuration log contains a list of changes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Change.SetDeployment.class, name = "set-deployment"),
    @JsonSubTypes.Type(value = Change.SetRules.class, name = "set-rules"),
    @JsonSubTypes.Type(value = Change.PutService.class, name = "put-service"),
    @JsonSubTypes.Type(value = Change.RemoveService.class, name = "remove-service"),
    @JsonSubTypes.Type(value = Change.PutOrganisation.class, name = "put-organisation"),
    @JsonSubTypes.Type(value = Change.RemoveOrganisation.class, name = "remove-organisation"),
    @JsonSubTypes.Type(value = Change.GrantKey.class, name = "grant-key"),
    @JsonSubTypes.Type(value = Change.WithdrawKey.class, name = "withdraw-key"),
    @JsonSubTypes.Type(value = Change.PutRoute.class, name = "put-route"),
    @JsonSubTypes.Type(value = Change.RemoveRoute.class, name = "remove-route"),
    @JsonSubTypes.Type(value = Change.DrainHost.class, name = "drain-host"),
    @JsonSubTypes.Type(value = Change.UndrainHost.class, name = "undrain-host"),
})
public sealed interface Change {
    /** Sets the name and the zones of the deployment. */
    record SetDeployment(String deployment, List<ZoneId> zones) implements Change {}

    /** Replaces the rules of the deployment. */
    record SetRules(Rules rules) implements Change {}

    /** Adds or replaces a service. */
    record PutService(Service service) implements Change {}

    /** Removes a service; no effect if it is unknown. */
    record RemoveService(ServiceId id) implements Change {}

    /** Adds or replaces an organisation. */
    record PutOrganisation(Organisation organisation) implements Change {}

    /** Removes an organisation with its keys; no effect if it is unknown. */
    record RemoveOrganisation(OrganisationId id) implements Change {}

    /** Grants a key to an organisation; no effect if the organisation is unknown. */
    record GrantKey(OrganisationId organisation, KeyDigest key) implements Change {}

    /** Withdraws a key from every organisation that has it. */
    record WithdrawKey(KeyDigest key) implements Change {}

    /** Adds or replaces a route. */
    record PutRoute(Route route) implements Change {}

    /** Removes a route; no effect if it is unknown. */
    record RemoveRoute(RouteId id) implements Change {}

    /** Drains a host: its upstream receives no new requests. */
    record DrainHost(HostId host) implements Change {}

    /** Ends the draining of a host. */
    record UndrainHost(HostId host) implements Change {}
}
