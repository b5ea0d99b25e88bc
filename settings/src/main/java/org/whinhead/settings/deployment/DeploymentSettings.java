package org.whinhead.settings.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;

/**
 * The documents in force and what they say, typed; immutable, the same on every daemon that has
 * folded the log to the same offset.
 */
public final class DeploymentSettings {

    /** No document at all. */
    public static final DeploymentSettings EMPTY = of(List.of());

    private final TreeMap<DocumentPath, StoredDocument> mDocuments;
    private final Map<String, Customer> mCustomersByKeyHash = new HashMap<>();

    private DeploymentSettings(final TreeMap<DocumentPath, StoredDocument> documents) {
        mDocuments = documents;
        for (final Customer customer : customers()) {
            customer.keyHashes().forEach(hash -> mCustomersByKeyHash.put(hash, customer));
        }
    }

    /**
     * Makes settings of documents that are in force, for example from a checkpoint.
     *
     * @param documents the documents, each path once
     * @return the settings
     */
    public static DeploymentSettings of(final Collection<StoredDocument> documents) {
        final TreeMap<DocumentPath, StoredDocument> byPath = new TreeMap<>();
        documents.forEach(document -> byPath.put(document.path(), document));
        return new DeploymentSettings(byPath);
    }

    /**
     * Returns settings of other documents, taking over what was parsed before.
     *
     * @param texts the JSON texts in force by path
     * @param revisions the revision of each path
     * @return the settings; documents whose revision is unchanged are not parsed again
     */
    public DeploymentSettings refreshed(
            final Map<String, String> texts, final ToLongFunction<String> revisions) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>();
        for (final Map.Entry<String, String> entry : texts.entrySet()) {
            final DocumentPath path = DocumentPath.parse(entry.getKey());
            final long revision = revisions.applyAsLong(entry.getKey());
            final StoredDocument known = mDocuments.get(path);
            final boolean same = known != null && known.revision() == revision;
            documents.put(
                    path, same ? known : new StoredDocument(path, entry.getValue(), revision));
        }
        return new DeploymentSettings(documents);
    }

    /**
     * Returns these settings with one document set; the caller has validated the change.
     *
     * @param document the document
     * @return a copy
     */
    public DeploymentSettings with(final StoredDocument document) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>(mDocuments);
        documents.put(document.path(), document);
        return new DeploymentSettings(documents);
    }

    /**
     * Returns these settings without one document; the caller has validated the change.
     *
     * @param path the document's path
     * @return a copy
     */
    public DeploymentSettings without(final DocumentPath path) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>(mDocuments);
        documents.remove(path);
        return new DeploymentSettings(documents);
    }

    /** Returns every document, sorted by path. */
    public Collection<StoredDocument> documents() {
        return List.copyOf(mDocuments.values());
    }

    /** Returns the document at a path, if there is one. */
    public Optional<StoredDocument> document(final DocumentPath path) {
        return Optional.ofNullable(mDocuments.get(path));
    }

    /**
     * Returns the documents below a prefix, sorted by path.
     *
     * @param prefix a path that ends in a slash, for example {@code /teams/filing/}
     * @return the documents
     */
    public List<StoredDocument> documentsUnder(final String prefix) {
        return mDocuments.values().stream()
                .filter(document -> document.path().text().startsWith(prefix))
                .toList();
    }

    /**
     * Returns the paths whose documents this program cannot use, because it does not know their
     * kind or schema number. They stay in force; a daemon that has any reports itself not able.
     */
    public List<DocumentPath> unusablePaths() {
        return mDocuments.values().stream()
                .filter(document -> document.value().isEmpty())
                .map(StoredDocument::path)
                .toList();
    }

    /** Returns the customers, each with its tier; one whose tier is not usable is left out. */
    public List<Customer> customers() {
        final List<Customer> customers = new ArrayList<>();
        for (final DocumentValue.CustomerEntry entry : all(DocumentValue.CustomerEntry.class)) {
            value(entry.tier(), DocumentValue.TierEntry.class)
                    .map(tier -> customer(entry, tier))
                    .ifPresent(customers::add);
        }
        return customers;
    }

    private static Customer customer(
            final DocumentValue.CustomerEntry entry, final DocumentValue.TierEntry tier) {
        return new Customer(
                entry.id(),
                entry.team(),
                tier.tier(),
                entry.keyHashes(),
                entry.weight(),
                entry.tokensPerSecond());
    }

    /**
     * Finds the customer who holds a key.
     *
     * @param keyHash the key's SHA-256 hash in lower-case hex
     * @return the customer, or empty if nobody holds the key
     */
    public Optional<Customer> customerByKeyHash(final String keyHash) {
        return Optional.ofNullable(mCustomersByKeyHash.get(keyHash));
    }

    /** Returns what a team may spend, if its subtree says so. */
    public Optional<DocumentValue.Budget> budget(final TeamId team) {
        return all(DocumentValue.Budget.class).stream()
                .filter(budget -> budget.team().equals(team))
                .findFirst();
    }

    /** Returns the tiers, sorted by name. */
    public List<DocumentValue.TierEntry> tiers() {
        return all(DocumentValue.TierEntry.class);
    }

    /** Returns the versions of all models, sorted by name and version. */
    public List<DocumentValue.ModelEntry> models() {
        return all(DocumentValue.ModelEntry.class);
    }

    /**
     * Tells whether a model may be asked for: its version is configured, and its adapter, if any.
     *
     * @param model the model
     * @return true if a request may name it
     */
    public boolean isModelConfigured(final ModelRef model) {
        return models().stream()
                .filter(entry -> entry.model().name().equals(model.name()))
                .filter(entry -> entry.model().version().equals(model.version()))
                .anyMatch(entry -> model.adapter().map(entry.adapters()::contains).orElse(true));
    }

    /** Returns the plain services, sorted by name. */
    public List<DocumentValue.ServiceEntry> services() {
        return all(DocumentValue.ServiceEntry.class);
    }

    /** Returns one plain service. */
    public Optional<DocumentValue.ServiceEntry> service(final String name) {
        return services().stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Returns the failure domains with the least that must run there. */
    public List<DocumentValue.DomainEntry> domains() {
        return all(DocumentValue.DomainEntry.class);
    }

    /** Returns the machine classes. */
    public List<DocumentValue.MachineClassEntry> machineClasses() {
        return all(DocumentValue.MachineClassEntry.class);
    }

    /** Returns the pools of engines. */
    public List<DocumentValue.PoolEntry> pools() {
        return all(DocumentValue.PoolEntry.class);
    }

    /** Returns how fast the fleet may change; empty means the program's own values. */
    public Optional<DocumentValue.PaceEntry> pace() {
        return all(DocumentValue.PaceEntry.class).stream().findFirst();
    }

    /** Returns the tunables of routing; empty means the program's own values. */
    public Optional<DocumentValue.RoutingEntry> routing() {
        return all(DocumentValue.RoutingEntry.class).stream().findFirst();
    }

    /** Returns the tunables of retries; empty means the program's own values. */
    public Optional<DocumentValue.RetriesEntry> retries() {
        return all(DocumentValue.RetriesEntry.class).stream().findFirst();
    }

    private <T extends DocumentValue> List<T> all(final Class<T> type) {
        return mDocuments.values().stream()
                .flatMap(document -> document.value().stream())
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private <T extends DocumentValue> Optional<T> value(
            final DocumentPath path, final Class<T> type) {
        return document(path)
                .flatMap(StoredDocument::value)
                .filter(type::isInstance)
                .map(type::cast);
    }
}
